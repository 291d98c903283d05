// Tests calls that are relayed through one or two real nodes to a scripted
// target.

#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <boost/algorithm/string/case_conv.hpp>

#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

constexpr int kCalls = 50;

constexpr char kHello[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

enum class Path { kLocal, kTwoNodes };

class RelayTest : public ::testing::TestWithParam<Path> {
 public:
  // Starts the nodes in front of a target.
  void StartNodes(RawTarget::OnBytes on_bytes) {
    // A second call replaces everything. The event loop is destroyed last,
    // together with its pending handlers.
    caller = nullptr;
    entry = nullptr;
    owner = nullptr;
    target = nullptr;
    loop = std::make_unique<boost::asio::io_context>();
    boost::asio::io_context& context = *loop;
    target = std::make_unique<RawTarget>(context, std::move(on_bytes));
    owner = std::make_unique<TestNode>(context, 2);
    owner->Announce(target->endpoint());
    entry = GetParam() == Path::kLocal ? nullptr
                                       : std::make_unique<TestNode>(context, 1);
    first().SendTo(*owner);
    caller = RawPeer::Connect(context, first().driver.caller_endpoint());
  }

  // The node that the caller is connected to.
  TestNode& first() { return entry ? *entry : *owner; }

  bool RunUntilReceived(const std::string& text) {
    return RunUntil(*loop, [this, text] {
      return caller->received().find(text) != std::string::npos;
    });
  }

  bool RunUntilClosed() {
    return RunUntil(*loop, [this] { return caller->is_at_end(); });
  }

  std::unique_ptr<boost::asio::io_context> loop;
  std::unique_ptr<RawTarget> target;
  std::unique_ptr<TestNode> owner;
  std::unique_ptr<TestNode> entry;
  std::shared_ptr<RawPeer> caller;
};

TEST_P(RelayTest, AnswerIsRelayedWithItsOutcome) {
  StartNodes(Always(kHello));
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilReceived("hello"));
  EXPECT_TRUE(caller->received().starts_with("HTTP/1.1 200 OK\r\n"));
  EXPECT_NE(caller->received().find("Bulrushmount-Outcome: answered\r\n"),
            std::string::npos);
  EXPECT_NE(caller->received().find("Bulrushmount-Request-Id: "),
            std::string::npos);
  EXPECT_TRUE(RunUntil(*loop, [this] {
    return first().logic.Count<AttemptAnswerEnded>() == 1 &&
           owner->logic.Count<TargetAnswerEnded>() == 1;
  }));
}

TEST_P(RelayTest, RequestBodyIsRelayed) {
  const std::string body(1 << 20, 'x');
  std::size_t taken = 0;
  StartNodes([&taken, &body](RawPeer& peer) {
    const std::size_t end = peer.received().find("\r\n\r\n");
    if (end == std::string::npos ||
        peer.received().size() < end + body.size()) {
      return;
    }
    taken = peer.received().size() - end - 4;
    peer.received().clear();
    peer.Send(kHello);
  });
  caller->Send("POST /a HTTP/1.1\r\nHost: desk\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  ASSERT_TRUE(RunUntilReceived("hello"));
  EXPECT_EQ(taken, body.size());
}

TEST_P(RelayTest, ChunkedRequestIsRelayed) {
  StartNodes([](RawPeer& peer) {
    if (peer.received().ends_with("\r\n0\r\n\r\n")) {
      const bool is_whole = peer.received().find("one") != std::string::npos &&
                            peer.received().find("three") != std::string::npos;
      peer.received().clear();
      peer.Send(is_whole ? kHello : "HTTP/1.1 500 X\r\n\r\n");
    }
  });
  caller->Send(
      "POST /a HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\none\r\n");
  caller->Send("5\r\nthree\r\n0\r\n\r\n");
  ASSERT_TRUE(RunUntilReceived("hello"));
}

// Guards against a caller taking a partial answer for a complete one: the
// target's connection ends in the middle of an answer, and some stage ends the
// body as if it were complete.
TEST_P(RelayTest, InterruptedAnswerIsDetectable) {
  const std::string starts[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nstart",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nstart",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n"
      "zz\r\n"};
  for (const std::string& start : starts) {
    SCOPED_TRACE(start);
    StartNodes([&start](RawPeer& peer) {
      peer.received().clear();
      peer.Send(start);
    });
    caller->Send(Get("/a"));
    ASSERT_TRUE(RunUntil(*loop, [this] {
      return caller->is_at_end() ||
             caller->received().find("start") != std::string::npos;
    }));
    target->peer(0).Close();
    ASSERT_TRUE(RunUntilClosed());
    const std::string& got = caller->received();
    EXPECT_EQ(got.find("\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(got.ends_with("Content-Length: 5\r\n\r\nstart"));
    EXPECT_EQ(owner->logic.Count<TargetAnswerEnded>(), 0U);
    EXPECT_EQ(first().logic.Count<AttemptAnswerEnded>(), 0U);
  }
}

struct Ending {
  const char* name;
  // What the target sends before it closes; may be empty.
  const char* answer;
  const char* status;
  const char* outcome;
  const char* reason;
};

const Ending kEndings[] = {
    {"Nothing", "", "502", "unknown", "target-lost"},
    {"HalfHead", "HTTP/1.1 200 OK\r\nContent-", "502", "unknown",
     "target-lost"},
    {"Garbage", "what is this\r\n\r\n", "502", "unknown", "target-lost"},
    {"EndToldByClosingOnly", "HTTP/1.1 200 OK\r\n\r\nhello", "502", "unknown",
     "target-lost"},
    {"Shed",
     "HTTP/1.1 503 Busy\r\nBulrushmount-Shed: 1\r\nContent-Length: 0\r\n\r\n",
     "503", "not-run", "shed"}};

// Guards against a request that may have run being reported as not run, or the
// reverse, when the target closes its connection during an exchange.
TEST_P(RelayTest, FailureHasTheCorrectOutcome) {
  for (const Ending& ending : kEndings) {
    SCOPED_TRACE(ending.name);
    StartNodes([&ending](RawPeer& peer) {
      peer.received().clear();
      peer.Send(ending.answer);
      peer.CloseAfterSend();
    });
    caller->Send(Get("/a"));
    ASSERT_TRUE(RunUntilReceived("\r\n\r\n"));
    const std::string& got = caller->received();
    EXPECT_TRUE(got.starts_with(std::string("HTTP/1.1 ") + ending.status));
    EXPECT_NE(got.find(std::string("Bulrushmount-Outcome: ") + ending.outcome),
              std::string::npos);
    EXPECT_NE(got.find(std::string("Bulrushmount-Reason: ") + ending.reason),
              std::string::npos);
  }
}

TEST_P(RelayTest, CallToUnreachableTargetIsNotRun) {
  StartNodes(Always(kHello));
  target->Close();
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilReceived("connect-failed"));
  EXPECT_NE(caller->received().find("not-run"), std::string::npos);
  EXPECT_NE(caller->received().find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(owner->logic.Count<TargetConnectFailed>(), 1U);
}

TEST_P(RelayTest, RefusalCarriesItsReason) {
  StartNodes(Always(kHello));
  owner->logic.refuse_with = Reason::kOverloaded;
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilReceived("Bulrushmount-Reason: overloaded"));
  EXPECT_EQ(first().logic.Last<AttemptRefused>()->reason, Reason::kOverloaded);
  EXPECT_EQ(target->connections(), 0U);
}

TEST_P(RelayTest, LoadIsReportedWithTheAnswer) {
  StartNodes(Always(kHello));
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilReceived("hello"));
  const LoadReport expected_load{3, 2, 12, std::chrono::milliseconds(4)};
  EXPECT_EQ(first().logic.Last<AttemptAnswerBegun>()->load, expected_load);
}

struct Bodiless {
  const char* method;
  const char* answer;
  const char* kept;
};

// Guards against a hanging connection, or the next answer being read as a body:
// the Content-Length of an answer that by definition has no body was used.
TEST_P(RelayTest, BodilessAnswersKeepTheConnectionUsable) {
  const Bodiless cases[] = {
      {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
       "Content-Length: 5"},
      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204"},
      {"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", "ETag"},
      {"GET",
       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
       "Content-Length: 0\r\n\r\n",
       "HTTP/1.1 200"}};
  for (const Bodiless& one : cases) {
    SCOPED_TRACE(one.answer);
    StartNodes([&one](RawPeer& peer) {
      const bool is_second = peer.received().starts_with("GET /second");
      peer.received().clear();
      peer.Send(is_second ? kHello : one.answer);
    });
    caller->Send(std::string(one.method) +
                 " /first HTTP/1.1\r\nHost: desk\r\n\r\n");
    ASSERT_TRUE(RunUntilReceived("\r\n\r\n"));
    // HTTP/2 transmits field names in lower case.
    EXPECT_NE(boost::algorithm::to_lower_copy(caller->received())
                  .find(boost::algorithm::to_lower_copy(std::string(one.kept))),
              std::string::npos);
    caller->received().clear();
    caller->Send(Get("/second"));
    ASSERT_TRUE(RunUntilReceived("hello"));
    EXPECT_EQ(target->connections(), 1U);
  }
}

TEST_P(RelayTest, HopByHopAndReservedFieldsAreStripped) {
  std::string seen;
  StartNodes([&seen](RawPeer& peer) {
    seen = peer.received();
    peer.received().clear();
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\n"
        "X-Hop: 1\r\nX-End: 2\r\nBulrushmount-Outcome: not-run\r\n\r\n");
  });
  caller->Send(
      "GET / HTTP/1.1\r\nHost: desk:80\r\nConnection: keep-alive, X-Mine\r\n"
      "X-Mine: 1\r\nX-Kept: 2\r\nBulrushmount-Shed: 1\r\n"
      "Bulrushmount-Workspace: studio\r\nBulrushmount-Request-Id: r-1\r\n"
      "Idempotency-Key: k\r\n\r\n");
  ASSERT_TRUE(RunUntilReceived("\r\n\r\n"));
  for (const char* const gone : {"X-Mine", "x-mine", "Shed", "Connection"}) {
    EXPECT_EQ(seen.find(gone), std::string::npos) << gone;
  }
  for (const char* const kept :
       {": 2\r\n", "Bulrushmount-Workspace: studio",
        "Bulrushmount-Request-Id: r-1", "Bulrushmount-Deadline-Ms: "}) {
    EXPECT_NE(seen.find(kept), std::string::npos) << kept;
  }
  const std::string& got = caller->received();
  EXPECT_EQ(got.find("not-run"), std::string::npos);
  EXPECT_EQ(got.find(": 1\r\n"), std::string::npos);
  EXPECT_NE(got.find("Bulrushmount-Request-Id: r-1\r\n"), std::string::npos);
  const CallHead& head = first().logic.Last<CallArrived>()->head;
  EXPECT_EQ(head.service, ServiceName("desk"));
  EXPECT_EQ(head.idempotency_key, IdempotencyKey("k"));
}

// Guards against a target continuing with a request whose caller has
// disconnected: the disconnect is not detected or not propagated.
TEST_P(RelayTest, CallerDisconnectCancelsTheWork) {
  StartNodes([](RawPeer& peer) { peer.received().clear(); });
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntil(*loop, [this] { return target->connections() == 1; }));
  caller->Close();
  EXPECT_TRUE(RunUntil(*loop, [this] { return target->peer(0).is_at_end(); }));
  EXPECT_EQ(first().logic.Count<CallerDisconnected>(), 1U);
  EXPECT_EQ(owner->logic.Count<WorkCancelled>(), 1U);
}

// Guards against a target that is taken out of service because a caller
// disconnects in the middle of its request body.
TEST_P(RelayTest, InterruptedRequestBodyIsNoFailureOfTheTarget) {
  // More than an entry reads before it sends a request to an owner.
  const std::string begun(200'000, 'x');
  StartNodes([](RawPeer&) {});
  caller->Send(
      "POST /a HTTP/1.1\r\nHost: desk\r\nContent-Length: 500000\r\n\r\n" +
      begun);
  ASSERT_TRUE(RunUntil(*loop, [&] {
    return target->connections() == 1 &&
           target->peer(0).received().ends_with(begun);
  }));
  caller->Close();
  ASSERT_TRUE(RunUntil(*loop, [this] { return target->peer(0).is_at_end(); }));
  EXPECT_EQ(owner->logic.Count<WorkCancelled>(), 1U);
  EXPECT_EQ(owner->logic.Count<TargetExchangeFailed>(), 0U);
}

// Guards against a caller getting part of the answer to another call:
// concurrent pipelined calls, each answered with its path, could be given each
// other's answers.
class PipelinedRelayTest : public RelayTest {
 public:
  // Sends kCalls calls at once to a target that answers with the path, and
  // checks the order of the answers.
  void RunPipelinedCalls() {
    std::string all;
    for (int call = 0; call < kCalls; ++call) {
      all += Get("/call-" + std::to_string(call) + "-");
    }
    caller->Send(all);
    ASSERT_TRUE(RunUntilReceived("\r\n\r\n/call-49-"));
    std::size_t last = 0;
    for (int call = 0; call < kCalls; ++call) {
      const std::size_t found = caller->received().find(
          "\r\n\r\n/call-" + std::to_string(call) + "-", last);
      ASSERT_NE(found, std::string::npos) << call;
      last = found;
    }
  }

  static void AnswerWithPath(RawPeer& peer) {
    const std::size_t end = peer.received().find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::string path =
        peer.received().substr(4, peer.received().find(' ', 4) - 4);
    peer.received().erase(0, end + 4);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string(path.size()) + "\r\n\r\n" + path);
  }
};

TEST_P(PipelinedRelayTest, CallsGetTheirOwnAnswersInOrder) {
  StartNodes(AnswerWithPath);
  RunPipelinedCalls();
  // A connection to the target carries one exchange at a time, so there are at
  // most as many connections as concurrent calls.
  EXPECT_LE(target->connections(), CallerLimits().max_pipelined);
}

// The same for non-repeatable calls: each waits for the one before it.
TEST_P(PipelinedRelayTest, NonRepeatableCallsRunSequentially) {
  StartNodes(AnswerWithPath);
  first().logic.is_repeatable = false;
  RunPipelinedCalls();
  EXPECT_EQ(target->connections(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Paths,
                         PipelinedRelayTest,
                         ::testing::Values(Path::kLocal, Path::kTwoNodes),
                         [](const auto& info) {
                           return info.param == Path::kLocal ? "Local"
                                                             : "TwoNodes";
                         });

INSTANTIATE_TEST_SUITE_P(Paths,
                         RelayTest,
                         ::testing::Values(Path::kLocal, Path::kTwoNodes),
                         [](const auto& info) {
                           return info.param == Path::kLocal ? "Local"
                                                             : "TwoNodes";
                         });

}  // namespace
}  // namespace bulrushmount::testing
