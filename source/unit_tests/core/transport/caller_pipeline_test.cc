// Several requests of one connection in progress at once: the answers come in
// the order of the requests, and no request's fate touches another's.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/transport/caller_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

using std::chrono::milliseconds;

// Requests whose path starts with this may be repeated.
constexpr std::string_view kRepeatable = "/safe";

// Keeps the calls, in the order in which they are handed in.
class PipelineAcceptor : public CallAcceptor {
 public:
  void OnCall(std::shared_ptr<CallerExchange> exchange) override {
    targets.push_back(exchange->head().target);
    if (on_call)
      on_call(exchange->head().target);
    calls[exchange->head().target] = std::move(exchange);
  }
  void OnCallerGone(const CallerExchange& exchange) override {
    ++gone[exchange.head().target];
  }
  bool IsRepeatable(const CallHead& head) const override {
    return head.target.starts_with(kRepeatable);
  }

  bool Has(const std::string& target) const { return calls.contains(target); }

  std::function<void(const std::string& target)> on_call;
  std::vector<std::string> targets;
  std::map<std::string, std::shared_ptr<CallerExchange>> calls;
  std::map<std::string, int> gone;
};

AnswerHead HeadOf(const std::string& target, const BodyShape& shape) {
  AnswerHead head;
  head.status = 200;
  head.headers.push_back({"X-Target", target});
  head.shape = shape;
  return head;
}

struct ParsedAnswer {
  int status = 0;
  std::string target;
  std::string body;
  bool is_closing = false;

  friend bool operator==(const ParsedAnswer&, const ParsedAnswer&) = default;
};

std::ostream& operator<<(std::ostream& out, const ParsedAnswer& answer) {
  return out << answer.status << ' ' << answer.target << " body "
             << answer.body.size() << (answer.is_closing ? " closing" : "");
}

// The whole answers at the start of `bytes`.
std::vector<ParsedAnswer> ParseAnswers(std::string_view bytes) {
  namespace http = boost::beast::http;
  std::vector<ParsedAnswer> answers;
  while (!bytes.empty()) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    boost::system::error_code error;
    const std::size_t used =
        parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (!parser.is_done())
      break;
    const auto& message = parser.get();
    answers.push_back({static_cast<int>(message.result_int()),
                       std::string(message["X-Target"]), message.body(),
                       !message.keep_alive()});
    bytes.remove_prefix(used);
  }
  return answers;
}

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
  constexpr std::size_t kLong = 400'000;
  constexpr std::size_t kPiece = 10'000;
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
  constexpr std::size_t kBody = 200'000;
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

// --- Against a connection that is obviously right ---------------------------

enum class AnswerFault : std::uint8_t { kNone, kBeforeHead, kMidway };

struct ScriptedRequest {
  bool is_repeatable = true;
  bool is_chunked = false;
  std::size_t body = 0;
  bool is_answer_chunked = false;
  std::size_t answer = 0;
  AnswerFault fault = AnswerFault::kNone;
  // Of those in progress the one with the least goes on first.
  int turn = 0;
};

std::ostream& operator<<(std::ostream& out, const ScriptedRequest& request) {
  return out << "{" << (request.is_repeatable ? "safe" : "book")
             << (request.is_chunked ? " chunked " : " ") << request.body
             << (request.is_answer_chunked ? " -> chunked " : " -> ")
             << request.answer << " fault " << static_cast<int>(request.fault)
             << " turn " << request.turn << "}";
}

rc::Gen<ScriptedRequest> AnyRequest() {
  return rc::gen::build<ScriptedRequest>(
      rc::gen::set(&ScriptedRequest::is_repeatable,
                   rc::gen::weightedElement<bool>({{4, true}, {1, false}})),
      rc::gen::set(&ScriptedRequest::is_chunked),
      rc::gen::set(&ScriptedRequest::body,
                   rc::gen::weightedElement<std::size_t>(
                       {{6, 0}, {2, 100}, {1, 70'000}})),
      rc::gen::set(&ScriptedRequest::is_answer_chunked),
      rc::gen::set(
          &ScriptedRequest::answer,
          rc::gen::element<std::size_t>(0, 1, 1500, 16384, 16385, 90'000)),
      rc::gen::set(
          &ScriptedRequest::fault,
          rc::gen::weightedElement<AnswerFault>({{10, AnswerFault::kNone},
                                                 {1, AnswerFault::kBeforeHead},
                                                 {1, AnswerFault::kMidway}})),
      rc::gen::set(&ScriptedRequest::turn, rc::gen::inRange(0, 100)));
}

// Sends a script's requests in one go, and answers them by their turns.
class PipelinePlay {
 public:
  explicit PipelinePlay(std::vector<ScriptedRequest> script)
      : m_script(std::move(script)),
        m_server(m_context, m_acceptor, m_random),
        m_is_started(m_script.size(), false) {
    RC_ASSERT(m_server.Listen({"127.0.0.1", 0}));
    m_acceptor.on_call = [this](const std::string& target) {
      if (!target.starts_with(kRepeatable))
        m_are_bookings_in_turn &= m_finished + 1 == m_acceptor.targets.size();
    };
    m_caller = RawPeer::Connect(m_context, m_server.endpoint());
    std::string all;
    for (std::size_t index = 0; index < m_script.size(); ++index)
      all += TextOf(index);
    m_caller->Send(all);
  }

  ~PipelinePlay() {
    for (const auto& [target, call] : m_acceptor.calls)
      call->Break();
  }

  // Until all are answered or the connection has ended.
  void Run() {
    const TimePoint end = Now() + kLimit;
    while (answers().size() < m_script.size() && !m_caller->is_at_end()) {
      RC_ASSERT(Now() < end);
      m_context.restart();
      if (m_context.run_one_for(milliseconds(1)) == 0)
        AnswerNext();
    }
  }

  std::vector<ParsedAnswer> answers() const {
    return ParseAnswers(m_caller->received());
  }
  const PipelineAcceptor& acceptor() const { return m_acceptor; }
  // Each was handed in when all that were handed in before had their answers.
  bool are_bookings_in_turn() const { return m_are_bookings_in_turn; }

  std::string TargetOf(std::size_t index) const {
    const char* const kind =
        m_script[index].is_repeatable ? "/safe/" : "/book/";
    return kind + std::to_string(index);
  }
  std::string AnswerBodyOf(std::size_t index) const {
    return std::string(m_script[index].answer,
                       static_cast<char>('a' + index % 26));
  }

 private:
  std::string TextOf(std::size_t index) const {
    const ScriptedRequest& request = m_script[index];
    std::string text =
        "POST " + TargetOf(index) + " HTTP/1.1\r\nHost: desk\r\n";
    const std::string body(request.body, 'q');
    if (!request.is_chunked)
      return text + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty()) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", body.size());
      text += size + body + "\r\n";
    }
    return text + "0\r\n\r\n";
  }

  void AnswerNext() {
    std::optional<std::size_t> next;
    for (std::size_t index = 0; index < m_script.size(); ++index) {
      const bool is_open =
          m_acceptor.Has(TargetOf(index)) && !m_is_started[index];
      if (is_open && (!next || m_script[index].turn < m_script[*next].turn))
        next = index;
    }
    if (!next)
      return;
    m_is_started[*next] = true;
    ReadBody(*next);
  }

  // The request's body first, as a target would.
  void ReadBody(std::size_t index) {
    auto source = m_acceptor.calls.at(TargetOf(index))->OpenBody();
    RC_ASSERT(source != nullptr);
    ReadOn(index, source, 0);
  }

  void ReadOn(std::size_t index,
              const std::shared_ptr<BodySource>& source,
              std::size_t got) {
    source->Read([this, index, source, got](const BodyRead& read) {
      if (read.status == BodyStatus::kChunk)
        ReadOn(index, source, got + read.data.size());
      else if (read.status == BodyStatus::kEnd && got == m_script[index].body)
        Answer(index);
    });
  }

  void Answer(std::size_t index) {
    const ScriptedRequest& request = m_script[index];
    const auto exchange = m_acceptor.calls.at(TargetOf(index));
    if (request.fault == AnswerFault::kBeforeHead) {
      exchange->Break();
      return;
    }
    const BodyShape shape =
        request.is_answer_chunked
            ? BodyShape{BodyFraming::kChunked, 0}
            : BodyShape{BodyFraming::kLength, request.answer};
    if (const auto sink = exchange->BeginAnswer(HeadOf(TargetOf(index), shape)))
      WriteOn(index, sink, 0);
  }

  void WriteOn(std::size_t index,
               const std::shared_ptr<BodySink>& sink,
               std::size_t sent) {
    constexpr std::size_t kPiece = 7000;
    std::string body = AnswerBodyOf(index);
    const bool fails = m_script[index].fault == AnswerFault::kMidway;
    if (fails)
      body.resize(body.size() / 2);
    if (fails && sent >= body.size()) {
      sink->Abort();
      return;
    }
    if (sent >= body.size()) {
      sink->Finish([](bool) {});
      ++m_finished;
      return;
    }
    const std::string piece = body.substr(sent, kPiece);
    sink->Write(piece,
                [this, index, sink, next = sent + piece.size()](bool is_taken) {
                  if (is_taken)
                    WriteOn(index, sink, next);
                });
  }

  std::vector<ScriptedRequest> m_script;
  boost::asio::io_context m_context;
  SeededRandomSource m_random{1};
  PipelineAcceptor m_acceptor;
  CallerServer m_server;
  std::shared_ptr<RawPeer> m_caller;
  std::vector<bool> m_is_started;
  std::size_t m_finished = 0;
  bool m_are_bookings_in_turn = true;
};

// The naive connection answers one request after another: the k-th answer is
// the k-th request's whole answer, and the first that fails ends it. Ours may
// also tell of a failure in its place and go on.
RC_GTEST_PROP(CallerPipelineProperty, AnswersAreThoseOfANaiveConnection, ()) {
  const auto script = *rc::gen::container<std::vector<ScriptedRequest>>(
      *rc::gen::inRange<std::size_t>(1, 9), AnyRequest());
  PipelinePlay play(script);
  play.Run();
  const std::vector<ParsedAnswer> answers = play.answers();
  for (std::size_t index = 0; index < answers.size(); ++index) {
    if (script[index].fault != AnswerFault::kNone) {
      RC_ASSERT(answers[index].status == 502);
      continue;
    }
    const ParsedAnswer expected{200, play.TargetOf(index),
                                play.AnswerBodyOf(index), false};
    RC_ASSERT(answers[index] == expected);
  }
  const bool is_cut = answers.size() < script.size();
  RC_ASSERT(!is_cut || script[answers.size()].fault != AnswerFault::kNone);
}

// What may not be repeated is handed in only when all before it is answered.
RC_GTEST_PROP(CallerPipelineProperty, OrderOfWhatMayNotBeRepeatedIsKept, ()) {
  auto script = *rc::gen::container<std::vector<ScriptedRequest>>(
      *rc::gen::inRange<std::size_t>(2, 9), AnyRequest());
  for (ScriptedRequest& request : script)
    request.fault = AnswerFault::kNone;
  PipelinePlay play(script);
  play.Run();
  RC_ASSERT(play.are_bookings_in_turn());
  const std::vector<std::string>& targets = play.acceptor().targets;
  RC_ASSERT(targets.size() == script.size());
  for (std::size_t index = 0; index < targets.size(); ++index)
    RC_ASSERT(targets[index] == play.TargetOf(index));
}

}  // namespace
}  // namespace bulrushmount::testing
