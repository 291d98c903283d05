// Several requests of one connection in progress at once: the answers come in
// the order of the requests, and no request's fate touches another's.

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/transport/callers/caller_server.h"
#include "unit_tests/core/transport/caller_pipeline_support.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

using std::chrono::milliseconds;

// Of bodies that do not fit into what is kept.
constexpr std::size_t kLong = 400'000;
constexpr std::size_t kPiece = 10'000;
constexpr std::size_t kBody = 200'000;

class CallerPipelineTest : public ::testing::Test {
 public:
  ~CallerPipelineTest() override {
    for (const auto& [target, call] : acceptor.calls)
      call->Break();
  }

  void Start() {
    server = std::make_unique<CallerServer>(context, acceptor, random, limits);
    ASSERT_TRUE(server->Listen({"127.0.0.1", 0}));
    caller = RawPeer::Connect(context, server->endpoint());
  }

  void StartAndSend(const std::vector<std::string>& targets) {
    Start();
    std::string all;
    for (const std::string& target : targets)
      all += Get(target);
    caller->Send(all);
  }

  bool RunUntilCall(const std::string& target) {
    return RunUntil(context, [this, &target] { return acceptor.Has(target); });
  }

  // Runs what is ready, until nothing happens for a moment.
  void Settle() {
    std::size_t ran = 1;
    while (ran > 0) {
      context.restart();
      ran = context.run_one_for(milliseconds(20));
    }
  }

  void Answer(const std::string& target, const std::string& body = "hello") {
    acceptor.calls.at(target)->Answer(HeadOf(target, {}), body);
  }

  std::shared_ptr<BodySink> Begin(const std::string& target,
                                  const BodyShape& shape) {
    return acceptor.calls.at(target)->BeginAnswer(HeadOf(target, shape));
  }

  std::vector<ParsedAnswer> answers() const {
    return ParseAnswers(caller->received());
  }
  bool RunUntilAnswers(std::size_t count) {
    return RunUntil(context,
                    [this, count] { return answers().size() >= count; });
  }
  bool RunUntilEnd() {
    return RunUntil(context, [this] { return caller->is_at_end(); });
  }

  boost::asio::io_context context;
  SeededRandomSource random{1};
  PipelineAcceptor acceptor;
  CallerLimits limits;
  std::unique_ptr<CallerServer> server;
  std::shared_ptr<RawPeer> caller;
};

// Symptom: the last of a series of requests is late although targets are idle.
// Sequence: a caller sends several requests at once; each takes as long as its
// latency objective allows for one.
// Cause: a request was read only when the one before it was answered.
TEST_F(CallerPipelineTest, RequestsAreWorkedOnAtOnceAndAnsweredInOrder) {
  StartAndSend({"/safe/0", "/safe/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/2"));
  Answer("/safe/2");
  Answer("/safe/1");
  Settle();
  EXPECT_TRUE(caller->received().empty());
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilAnswers(3));
  for (std::size_t index = 0; index < 3; ++index)
    EXPECT_EQ(answers()[index].target, "/safe/" + std::to_string(index));
}

// Symptom: a booking runs twice.
// Sequence: a caller sends a booking behind another request; the answer to that
// closes the connection, and the caller sends the booking again.
// Cause: the booking was handed in before it was clear that its turn comes.
TEST_F(CallerPipelineTest, WhatMayNotBeRepeatedWaitsForItsTurn) {
  StartAndSend({"/safe/0", "/book/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  Settle();
  EXPECT_EQ(acceptor.targets, std::vector<std::string>{"/safe/0"});
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilCall("/book/1"));
  // Behind it anything that may be repeated is worked on.
  ASSERT_TRUE(RunUntilCall("/safe/2"));
  Answer("/safe/2");
  Answer("/book/1");
  EXPECT_TRUE(RunUntilAnswers(3));
}

// What was passed on is answered before the connection closes, the last answer
// alone says so, and nothing behind it is read.
TEST_F(CallerPipelineTest, DrainingAnswersWhatIsInProgress) {
  limits.max_pipelined = 2;
  StartAndSend({"/safe/0", "/safe/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  server->EndAfterAnswers();
  Answer("/safe/1");
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilEnd());
  const std::vector<ParsedAnswer> expected = {{200, "/safe/0", "hello", false},
                                              {200, "/safe/1", "hello", true}};
  EXPECT_EQ(answers(), expected);
  EXPECT_FALSE(acceptor.Has("/safe/2"));
  EXPECT_FALSE(caller->is_reset());
}

TEST_F(CallerPipelineTest, RequestThatClosesIsTheLast) {
  Start();
  caller->Send(Get("/safe/0") +
               "GET /safe/1 HTTP/1.1\r\nHost: desk\r\nConnection: "
               "close\r\n\r\n" +
               Get("/safe/2"));
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  Answer("/safe/1");
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilEnd());
  const std::vector<ParsedAnswer> expected = {{200, "/safe/0", "hello", false},
                                              {200, "/safe/1", "hello", true}};
  EXPECT_EQ(answers(), expected);
  EXPECT_FALSE(acceptor.Has("/safe/2"));
}

// Symptom: the answer to a sound request is lost, or told as a fault.
// Sequence: a faulty request comes behind one that is being worked on.
// Cause: the refusal was written at once, before the answer it stands behind.
TEST_F(CallerPipelineTest, FaultyRequestIsRefusedInItsPlace) {
  Start();
  caller->Send(Get("/safe/0") + "hello\r\n\r\n");
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  Settle();
  EXPECT_TRUE(caller->received().empty());
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilEnd());
  ASSERT_EQ(answers().size(), 2U);
  EXPECT_EQ(answers()[0].status, 200);
  EXPECT_FALSE(answers()[0].is_closing);
  EXPECT_EQ(answers()[1].status, 400);
  EXPECT_TRUE(answers()[1].is_closing);
}

TEST_F(CallerPipelineTest, CallerWhoLeavesIsToldOfForEachRequest) {
  StartAndSend({"/safe/0", "/safe/1", "/book/2"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  caller->Close();
  ASSERT_TRUE(RunUntil(context, [this] { return acceptor.gone.size() == 2; }));
  EXPECT_EQ(acceptor.gone["/safe/0"], 1);
  EXPECT_EQ(acceptor.gone["/safe/1"], 1);
}

struct Broken {
  const char* name;
  // Of the request whose answer breaks off.
  std::size_t index;
  BodyShape shape;
  // Bytes of its body that come before.
  std::size_t sent;
  // Whether the others get their answers.
  bool spares_others;
};

class BrokenAnswerTest : public CallerPipelineTest,
                         public ::testing::WithParamInterface<Broken> {};

// Symptom: requests that sound targets are at work on lose their answers.
// Sequence: on a connection with several requests in progress one target breaks
// off its answer.
// Cause: the connection was closed for it, although no byte of it had left.
TEST_P(BrokenAnswerTest, IsToldInItsPlaceIfNothingOfItHasLeft) {
  StartAndSend({"/safe/0", "/safe/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/2"));
  const std::string target = "/safe/" + std::to_string(GetParam().index);
  const auto sink = Begin(target, GetParam().shape);
  ASSERT_TRUE(sink);
  sink->Write(std::string(GetParam().sent, 'x'), [](bool) {});
  Settle();
  sink->Abort();
  for (std::size_t index = 0; index < 3; ++index) {
    if (index != GetParam().index)
      Answer("/safe/" + std::to_string(index));
  }
  if (!GetParam().spares_others) {
    ASSERT_TRUE(RunUntilEnd());
    EXPECT_TRUE(answers().empty());
    EXPECT_EQ(acceptor.gone.size(), 2U);
    EXPECT_FALSE(acceptor.gone.contains(target));
    return;
  }
  ASSERT_TRUE(RunUntilAnswers(3));
  for (std::size_t index = 0; index < 3; ++index)
    EXPECT_EQ(answers()[index].status, index == GetParam().index ? 502 : 200);
  EXPECT_TRUE(acceptor.gone.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    BrokenAnswerTest,
    ::testing::Values(
        Broken{"ShortInFront", 0, {BodyFraming::kLength, 100}, 50, true},
        Broken{"ShortBehind", 1, {BodyFraming::kLength, 100}, 50, true},
        Broken{"ChunkedBehind", 2, {BodyFraming::kChunked, 0}, 50, true},
        Broken{"LongBehind", 1, {BodyFraming::kLength, 900'000}, 50, true},
        // Its first bytes are with the caller.
        Broken{"LongInFront",
               0,
               {BodyFraming::kLength, 900'000},
               50'000,
               false}),
    [](const auto& info) { return std::string(info.param.name); });

// Symptom: memory grows with what callers do not read.
// Sequence: a long answer is ready behind a request that takes long.
// Cause: all of it was kept until its turn.
TEST_F(CallerPipelineTest, LongAnswerWaitsForRoomUntilItsTurn) {
  StartAndSend({"/safe/0", "/safe/1"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  const auto sink = Begin("/safe/1", {BodyFraming::kLength, kLong});
  std::size_t taken = 0;
  std::function<void(bool)> write_on = [&](bool is_written) {
    ASSERT_TRUE(is_written);
    taken += kPiece;
    if (taken < kLong)
      sink->Write(std::string(kPiece, 'b'), write_on);
    else
      sink->Finish([](bool) {});
  };
  sink->Write(std::string(kPiece, 'b'), write_on);
  Settle();
  EXPECT_EQ(taken, kPiece);
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilAnswers(2));
  EXPECT_EQ(answers()[1].body, std::string(kLong, 'b'));
}

// A caller that does not read its answer has nothing further worked on.
TEST_F(CallerPipelineTest, NothingIsTakenWhileAnAnswerIsOnItsWay) {
  Start();
  caller->Pause();
  caller->Send(Get("/safe/0"));
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  const auto sink = Begin("/safe/0", {BodyFraming::kLength, 32 << 20});
  sink->Write(std::string(16 << 20, 'a'), [](bool) {});
  caller->Send(Get("/safe/1"));
  Settle();
  EXPECT_FALSE(acceptor.Has("/safe/1"));
  caller->Read();
  sink->Write(std::string(16 << 20, 'a'), [](bool) {});
  sink->Finish([](bool) {});
  EXPECT_TRUE(RunUntilCall("/safe/1"));
}

TEST_F(CallerPipelineTest, BoundOfOneConnectionHolds) {
  limits.max_pipelined = 2;
  StartAndSend({"/safe/0", "/safe/1", "/safe/2", "/safe/3"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  Settle();
  EXPECT_EQ(acceptor.calls.size(), 2U);
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilCall("/safe/2"));
  Settle();
  EXPECT_EQ(acceptor.calls.size(), 3U);
}

// The oldest of each connection always goes on: the bound is on what is done
// ahead.
TEST_F(CallerPipelineTest, BoundOfAllConnectionsHolds) {
  limits.max_read_ahead = 1;
  StartAndSend({"/safe/a0", "/safe/a1", "/safe/a2"});
  ASSERT_TRUE(RunUntilCall("/safe/a1"));
  const auto other = RawPeer::Connect(context, server->endpoint());
  other->Send(Get("/safe/b0") + Get("/safe/b1"));
  ASSERT_TRUE(RunUntilCall("/safe/b0"));
  Settle();
  EXPECT_EQ(acceptor.calls.size(), 3U);
  Answer("/safe/a0");
  ASSERT_TRUE(RunUntilAnswers(1));
  ASSERT_TRUE(RunUntilCall("/safe/a2"));
  Answer("/safe/b0");
  EXPECT_TRUE(RunUntilCall("/safe/b1"));
}

// A body in front holds back the heads behind it.
TEST_F(CallerPipelineTest, NothingIsTakenBehindABodyThatIsNotRead) {
  Start();
  caller->Send("POST /safe/0 HTTP/1.1\r\nHost: desk\r\nContent-Length: " +
               std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'b') +
               Get("/safe/1"));
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  Settle();
  EXPECT_FALSE(acceptor.Has("/safe/1"));
  const auto source = acceptor.calls.at("/safe/0")->OpenBody();
  std::size_t got = 0;
  std::function<void(BodyRead)> take = [&](const BodyRead& read) {
    got += read.data.size();
    if (read.status == BodyStatus::kChunk)
      source->Read(take);
  };
  source->Read(take);
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  EXPECT_EQ(got, kBody);
}

// Symptom: a request in progress loses its answer.
// Sequence: its connection is silent for longer than a connection may be idle,
// or a head behind it comes too slowly.
// Cause: the limits of what the caller has to send ran while it had to wait.
TEST_F(CallerPipelineTest, TimesOfTheCallerDoNotRunWhileItWaits) {
  limits.idle_time = milliseconds(50);
  limits.head_time = milliseconds(50);
  Start();
  caller->Send(Get("/safe/0") + "GET /safe/1 HTT");
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  RunUntil(
      context, [] { return false; }, milliseconds(200));
  EXPECT_FALSE(caller->is_at_end());
  Answer("/safe/0");
  EXPECT_TRUE(RunUntilAnswers(1));
  // Now they run.
  EXPECT_TRUE(RunUntilEnd());
}

}  // namespace
}  // namespace bulrushmount::testing
