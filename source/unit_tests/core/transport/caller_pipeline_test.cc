// Tests pipelining: several requests of one connection run concurrently, are
// answered in order, and do not affect each other.

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

// Sizes of bodies that exceed the buffer for answers.
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

  // Runs the event loop until it is idle for 20 ms.
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

// Guards against requests that are late although targets are idle: a caller
// sends several requests at once, each of which uses up the latency objective,
// and a request was read only when the one before it was answered.
TEST_F(CallerPipelineTest, RequestsRunConcurrentlyAndAreAnsweredInOrder) {
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

// Guards against running a non-repeatable request twice: the answer to an
// earlier request closes the connection, and the caller sends the request again
// although it had already been submitted.
TEST_F(CallerPipelineTest, NonRepeatableRequestWaitsForItsTurn) {
  StartAndSend({"/safe/0", "/book/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/0"));
  Settle();
  EXPECT_EQ(acceptor.targets, std::vector<std::string>{"/safe/0"});
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilCall("/book/1"));
  // Repeatable requests behind it run concurrently.
  ASSERT_TRUE(RunUntilCall("/safe/2"));
  Answer("/safe/2");
  Answer("/book/1");
  EXPECT_TRUE(RunUntilAnswers(3));
}

// Submitted requests are answered before the connection closes, only the last
// answer announces the close, and no request behind it is read.
TEST_F(CallerPipelineTest, DrainingAnswersRequestsInProgress) {
  limits.max_pipelined = 2;
  StartAndSend({"/safe/0", "/safe/1", "/safe/2"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  server->CloseAfterAnswers();
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

// Guards against a valid request losing its answer when a malformed request
// follows it: the rejection was written at once, before the earlier answer.
TEST_F(CallerPipelineTest, MalformedRequestIsRejectedInOrder) {
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

TEST_F(CallerPipelineTest, DisconnectIsReportedForEachRequest) {
  StartAndSend({"/safe/0", "/safe/1", "/book/2"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  caller->Close();
  ASSERT_TRUE(
      RunUntil(context, [this] { return acceptor.disconnects.size() == 2; }));
  EXPECT_EQ(acceptor.disconnects["/safe/0"], 1);
  EXPECT_EQ(acceptor.disconnects["/safe/1"], 1);
}

struct Broken {
  const char* name;
  // Index of the request whose answer is interrupted.
  std::size_t index;
  BodyShape shape;
  // Bytes of its body that are written before that.
  std::size_t sent;
  // Whether the other requests get their answers.
  bool are_others_answered;
};

class BrokenAnswerTest : public CallerPipelineTest,
                         public ::testing::WithParamInterface<Broken> {};

// Guards against requests on healthy targets losing their answers when one
// target interrupts its answer: the connection was closed although no byte of
// that answer had been sent.
TEST_P(BrokenAnswerTest, IsReplacedIfNoByteWasSent) {
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
  if (!GetParam().are_others_answered) {
    ASSERT_TRUE(RunUntilEnd());
    EXPECT_TRUE(answers().empty());
    EXPECT_EQ(acceptor.disconnects.size(), 2U);
    EXPECT_FALSE(acceptor.disconnects.contains(target));
    return;
  }
  ASSERT_TRUE(RunUntilAnswers(3));
  for (std::size_t index = 0; index < 3; ++index)
    EXPECT_EQ(answers()[index].status, index == GetParam().index ? 502 : 200);
  EXPECT_TRUE(acceptor.disconnects.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    BrokenAnswerTest,
    ::testing::Values(
        Broken{"ShortInFront", 0, {BodyFraming::kLength, 100}, 50, true},
        Broken{"ShortBehind", 1, {BodyFraming::kLength, 100}, 50, true},
        Broken{"ChunkedBehind", 2, {BodyFraming::kChunked, 0}, 50, true},
        Broken{"LongBehind", 1, {BodyFraming::kLength, 900'000}, 50, true},
        // Its first bytes have been sent to the caller.
        Broken{"LongInFront",
               0,
               {BodyFraming::kLength, 900'000},
               50'000,
               false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against memory growth: a long answer behind a slow request was
// buffered completely until its turn.
TEST_F(CallerPipelineTest, LongAnswerIsNotReadBeforeItsTurn) {
  StartAndSend({"/safe/0", "/safe/1"});
  ASSERT_TRUE(RunUntilCall("/safe/1"));
  const auto sink = Begin("/safe/1", {BodyFraming::kLength, kLong});
  std::size_t taken = 0;
  std::function<void(bool)> write_next = [&](bool is_written) {
    ASSERT_TRUE(is_written);
    taken += kPiece;
    if (taken < kLong)
      sink->Write(std::string(kPiece, 'b'), write_next);
    else
      sink->Finish([](bool) {});
  };
  sink->Write(std::string(kPiece, 'b'), write_next);
  Settle();
  EXPECT_EQ(taken, kPiece);
  Answer("/safe/0");
  ASSERT_TRUE(RunUntilAnswers(2));
  EXPECT_EQ(answers()[1].body, std::string(kLong, 'b'));
}

// No further requests run for a caller that does not read its answer.
TEST_F(CallerPipelineTest, NoRequestIsReadWhileAnAnswerIsSent) {
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

TEST_F(CallerPipelineTest, LimitPerConnectionHolds) {
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

// The oldest request of each connection always runs; the limit applies to
// requests that run ahead of their turn.
TEST_F(CallerPipelineTest, LimitOverAllConnectionsHolds) {
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

// The heads behind an unread body are not read.
TEST_F(CallerPipelineTest, NoRequestIsReadBehindAnUnreadBody) {
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

// Guards against a request in progress losing its answer because its connection
// exceeds the idle timeout, or because a later head arrives too slowly: the
// caller's timeouts ran while it waited for an answer.
TEST_F(CallerPipelineTest, CallerTimeoutsDoNotRunWhileItWaits) {
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
  // From here on the timeouts run.
  EXPECT_TRUE(RunUntilEnd());
}

}  // namespace
}  // namespace bulrushmount::testing
