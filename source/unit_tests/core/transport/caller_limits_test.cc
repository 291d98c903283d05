// Tests the limits on the callers' connections, heads, bodies and time.

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/steady_timer.hpp>

#include "core/transport/callers/caller_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

using std::chrono::milliseconds;

// Connections above the limit that may be open while they are being rejected.
constexpr std::size_t kMaxPendingRefusals = 64;

class AnsweringAcceptor : public CallAcceptor {
 public:
  void OnCall(std::shared_ptr<CallerExchange> exchange) override {
    ++calls;
    is_body_buffered = exchange->head().is_body_buffered;
    AnswerHead head;
    head.status = 200;
    exchange->Answer(std::move(head), "hello");
  }
  void OnCallerDisconnected(const CallerExchange&) override {}
  bool IsRepeatable(const CallHead&) const override { return true; }

  int calls = 0;
  bool is_body_buffered = false;
};

class CallerLimitsTest : public ::testing::Test {
 public:
  void Start() {
    server = std::make_unique<CallerServer>(context, acceptor, random, limits);
    EXPECT_TRUE(server->Listen({"127.0.0.1", 0}));
  }

  std::shared_ptr<RawPeer> Connect() {
    return RawPeer::Connect(context, server->endpoint());
  }

  bool RunUntilClosed(const RawPeer& peer) {
    return RunUntil(context, [&peer] { return peer.is_at_end(); });
  }

  // Sends `bytes` repeatedly until the connection is closed.
  bool DripUntilClosed(RawPeer& peer, const std::string& bytes) {
    const TimePoint end = Now() + kLimit;
    while (!peer.is_at_end() && Now() < end) {
      peer.Send(bytes);
      RunUntil(
          context, [&peer] { return peer.is_at_end(); }, milliseconds(10));
    }
    return peer.is_at_end();
  }

  boost::asio::io_context context;
  SeededRandomSource random{1};
  AnsweringAcceptor acceptor;
  CallerLimits limits;
  std::unique_ptr<CallerServer> server;
};

TEST_F(CallerLimitsTest, HeadThatComesByteByByteIsClosed) {
  limits.head_time = milliseconds(200);
  Start();
  const auto peer = Connect();
  peer->Send("GET / HTTP/1.1\r\nX: ");
  EXPECT_TRUE(DripUntilClosed(*peer, "a"));
  EXPECT_EQ(acceptor.calls, 0);
}

// Empty lines before a head are ignored. Each one restarted the timeout, so a
// caller that sent only empty lines could hold its connection forever.
TEST_F(CallerLimitsTest, EmptyLinesWithoutEndAreClosed) {
  limits.head_time = milliseconds(200);
  Start();
  const auto peer = Connect();
  EXPECT_TRUE(DripUntilClosed(*peer, "\r\n"));
}

// Guards against a stack overflow: each empty line was skipped by a recursive
// call, so a few kilobytes of them used thousands of stack frames.
TEST_F(CallerLimitsTest, ManyEmptyLinesAreSkipped) {
  Start();
  const auto peer = Connect();
  std::string lines;
  for (int count = 0; count < 100'000; ++count)
    lines += "\r\n";
  peer->Send(lines + Get("/a"));
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.calls == 1; }));
}

TEST_F(CallerLimitsTest, IdleConnectionsAreClosed) {
  limits.idle_time = milliseconds(200);
  Start();
  const auto silent = Connect();
  EXPECT_TRUE(RunUntilClosed(*silent));
  const auto served = Connect();
  served->Send(Get("/a"));
  EXPECT_TRUE(RunUntilClosed(*served));
  EXPECT_NE(served->received().find("hello"), std::string::npos);
  EXPECT_TRUE(
      RunUntil(context, [this] { return server->connection_count() == 0; }));
}

TEST_F(CallerLimitsTest, ConnectionsAboveTheLimitGetAnErrorAnswer) {
  limits.max_connections = 2;
  Start();
  const auto first = Connect();
  const auto second = Connect();
  EXPECT_TRUE(
      RunUntil(context, [this] { return server->connection_count() == 2; }));
  const auto third = Connect();
  third->Send(Get("/a"));
  EXPECT_TRUE(RunUntilClosed(*third));
  EXPECT_TRUE(third->received().starts_with("HTTP/1.1 503 "));
  EXPECT_NE(third->received().find("Bulrushmount-Outcome: not-run"),
            std::string::npos);
  EXPECT_EQ(acceptor.calls, 0);

  // Closed connections no longer count.
  third->Close();
  first->Close();
  EXPECT_TRUE(
      RunUntil(context, [this] { return server->connection_count() == 1; }));
  const auto fourth = Connect();
  fourth->Send(Get("/a"));
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.calls == 1; }));
}

// Connections that are being rejected also use file descriptors.
TEST_F(CallerLimitsTest, FloodOfConnectionsStaysBounded) {
  limits.max_connections = 2;
  Start();
  std::vector<std::shared_ptr<RawPeer>> peers;
  for (int count = 0; count < 300; ++count) {
    peers.push_back(Connect());
    context.poll();
    EXPECT_LE(server->connection_count(), 2 + kMaxPendingRefusals);
  }
  EXPECT_TRUE(RunUntil(context, [&peers] {
    int closed = 0;
    for (const auto& peer : peers)
      closed += peer->is_at_end() ? 1 : 0;
    return closed == 298;
  }));
}

// Guards against a leak when a process ends while it writes answers: the writer
// owned the callbacks, these the connection, and that the writer, and the cycle
// was not broken when the event loop was destroyed.
TEST(CallerConnectionLifeTest, NothingOutlivesTheEventLoop) {
  class AnsweringWithMuch : public CallAcceptor {
   public:
    void OnCall(std::shared_ptr<CallerExchange> exchange) override {
      AnswerHead head;
      head.status = 200;
      head.shape = {BodyFraming::kLength, 16 << 20};
      const auto sink = exchange->BeginAnswer(std::move(head));
      const auto token = std::make_shared<int>();
      held = token;
      sink->Write(std::string(16 << 20, 'a'), [token](bool) {});
      sink->Finish([token](bool) {});
    }
    void OnCallerDisconnected(const CallerExchange&) override {}
    bool IsRepeatable(const CallHead&) const override { return true; }
    // Kept alive by the callbacks of the answer.
    std::weak_ptr<int> held;
  };
  AnsweringWithMuch acceptor;
  SeededRandomSource random{1};
  {
    boost::asio::io_context context;
    CallerServer server(context, acceptor, random);
    ASSERT_TRUE(server.Listen({"127.0.0.1", 0}));
    const auto peer = RawPeer::Connect(context, server.endpoint());
    peer->Pause();
    peer->Send(Get("/a"));
    ASSERT_TRUE(
        RunUntil(context, [&acceptor] { return !acceptor.held.expired(); }));
  }
  EXPECT_TRUE(acceptor.held.expired());
}

TEST_F(CallerLimitsTest, MaxHeadSizeFollowsTheSettings) {
  limits.max_head = 1024;
  Start();
  const auto peer = Connect();
  peer->Send("GET / HTTP/1.1\r\nHost: desk\r\nX: " + std::string(1500, 'a') +
             "\r\n\r\n");
  EXPECT_TRUE(RunUntilClosed(*peer));
  EXPECT_TRUE(peer->received().starts_with("HTTP/1.1 431 "));

  limits.max_head = 65536;
  Start();
  const auto other = Connect();
  other->Send("GET / HTTP/1.1\r\nHost: desk\r\nX: " + std::string(60000, 'a') +
              "\r\n\r\n");
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.calls == 1; }));
}

TEST_F(CallerLimitsTest, BufferedBodySizeFollowsTheSettings) {
  const std::string post =
      "POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 40000\r\n\r\n" +
      std::string(40000, 'b');
  Start();
  const auto peer = Connect();
  peer->Send(post);
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.calls == 1; }));
  EXPECT_FALSE(acceptor.is_body_buffered);

  limits.max_buffered_body = 65536;
  Start();
  const auto other = Connect();
  other->Send(post);
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.calls == 2; }));
  EXPECT_TRUE(acceptor.is_body_buffered);
}

}  // namespace
}  // namespace bulrushmount::testing
