// Tests when connections to the target are reused.

#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/post.hpp>

#include "core/transport/targets/target_client.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

constexpr char kComplete[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// Records the result of an exchange and reads the answer to its end.
class RecordingListener : public TargetListener {
 public:
  void OnConnectFailed() override { is_connect_failed = true; }
  void OnFailed() override { is_failed = true; }
  void OnRequestInterrupted() override { is_failed = true; }
  void OnAnswer(AnswerHead head,
                const TargetVerdict& verdict,
                std::shared_ptr<BodySource> body) override {
    status = head.status;
    has_shed = verdict.is_shed;
    source = std::move(body);
    Read();
  }

  bool is_done() const { return is_connect_failed || is_failed || is_ended; }

  bool is_connect_failed = false;
  bool is_failed = false;
  bool is_ended = false;
  bool is_whole = false;
  bool has_shed = false;
  int status = 0;
  std::string body;
  std::shared_ptr<BodySource> source;

 private:
  void Read() {
    source->Read([this](const BodyRead& read) {
      body += read.data;
      if (read.status == BodyStatus::kChunk) {
        Read();
        return;
      }
      is_ended = true;
      is_whole = read.status == BodyStatus::kEnd;
    });
  }
};

class TargetClientTest : public ::testing::Test {
 public:
  void StartTarget(RawTarget::OnBytes on_bytes) {
    target = std::make_unique<RawTarget>(context, std::move(on_bytes));
    client.SetEndpoint(target->endpoint());
  }

  std::shared_ptr<TargetExchange> Send(RecordingListener& listener) {
    return client.Send({"GET", "/", {{"Host", "desk"}}, {}},
                       RequestId("request-1"),
                       std::make_shared<StringSource>(""), &listener);
  }

  // Sends one request and waits for its end.
  RecordingListener Call() {
    RecordingListener listener;
    const auto exchange = Send(listener);
    EXPECT_TRUE(RunUntil(context, [&] { return listener.is_done(); }));
    exchange->Cancel();
    return listener;
  }

  boost::asio::io_context context;
  std::unique_ptr<RawTarget> target;
  TargetClient client{context.get_executor()};
};

TEST_F(TargetClientTest, CompleteExchangeReturnsItsConnection) {
  StartTarget(Always(kComplete));
  for (int call = 0; call < 5; ++call) {
    EXPECT_EQ(Call().body, "hello");
    EXPECT_EQ(client.idle_connections(), 1U);
  }
  EXPECT_EQ(target->connections(), 1U);
}

// Guards against every shed request costing a new connection under overload.
TEST_F(TargetClientTest, ShedWithoutBodyReturnsItsConnection) {
  StartTarget(
      Always("HTTP/1.1 503 Busy\r\nBulrushmount-Shed: 1\r\n"
             "Content-Length: 0\r\n\r\n"));
  EXPECT_TRUE(Call().has_shed);
  EXPECT_TRUE(Call().has_shed);
  EXPECT_EQ(target->connections(), 1U);
}

struct Unclean {
  const char* name;
  const char* answer;
  bool is_whole;
};

class UncleanTest : public TargetClientTest,
                    public ::testing::WithParamInterface<Unclean> {};

// Guards against a caller getting part of another call's answer: an exchange
// does not end cleanly, and the next one uses its connection, on which bytes of
// the first are still arriving.
TEST_P(UncleanTest, ConnectionIsNotReused) {
  StartTarget(Always(GetParam().answer));
  for (std::size_t call = 1; call <= 3; ++call) {
    const RecordingListener got = Call();
    EXPECT_EQ(got.is_whole, GetParam().is_whole);
    EXPECT_EQ(target->connections(), call);
    EXPECT_EQ(client.idle_connections(), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    UncleanTest,
    ::testing::Values(
        Unclean{"Close",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                "Content-Length: 5\r\n\r\nhello",
                true},
        Unclean{"SurplusBytes",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200",
                true},
        Unclean{"EndToldByClosing", "HTTP/1.1 200 OK\r\n\r\nhello", false},
        Unclean{"BadChunk",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                false},
        Unclean{"BadLength",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                "Content-Length: 6\r\n\r\nhello",
                false},
        Unclean{"Switching", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                false}),
    [](const auto& info) { return info.param.name; });

TEST_F(TargetClientTest, CancelledExchangeClosesItsConnection) {
  StartTarget([](RawPeer&) {});
  RecordingListener listener;
  const auto exchange = Send(listener);
  ASSERT_TRUE(RunUntil(context, [this] { return target->connections() == 1; }));
  exchange->Cancel();
  EXPECT_TRUE(
      RunUntil(context, [this] { return target->peer(0).is_at_end(); }));
  EXPECT_FALSE(listener.is_done());
}

// Guards against an unknown outcome with a healthy target: the target closed an
// idle connection, and the pool used it for the next request.
TEST_F(TargetClientTest, ClosedIdleConnectionIsNotUsed) {
  StartTarget(Always(kComplete));
  Call();
  target->peer(0).Close();
  context.restart();
  context.poll();
  EXPECT_TRUE(Call().is_whole);
  EXPECT_EQ(target->connections(), 2U);
}

// Guards against a caller getting an unrelated answer: bytes that arrived on an
// idle connection were read as the answer to the next request.
TEST_F(TargetClientTest, IdleConnectionWithLateBytesIsNotUsed) {
  StartTarget(Always(kComplete));
  Call();
  bool is_sent = false;
  target->peer(0).Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  boost::asio::post(context, [&] { is_sent = true; });
  ASSERT_TRUE(RunUntil(context, [&] { return is_sent; }));
  EXPECT_EQ(Call().body, "hello");
  EXPECT_EQ(target->connections(), 2U);
}

// Guards against a target that sends bytes without end after a complete answer:
// no further request used the idle connection, and nothing else closed it.
TEST_F(TargetClientTest, IdleConnectionWithLateBytesIsClosed) {
  StartTarget(Always(kComplete));
  Call();
  ASSERT_EQ(client.idle_connections(), 1U);
  target->peer(0).Send("noise");
  EXPECT_TRUE(
      RunUntil(context, [this] { return target->peer(0).is_at_end(); }));
  EXPECT_EQ(client.idle_connections(), 0U);
}

TEST_F(TargetClientTest, NewEndpointDropsOldConnections) {
  StartTarget(Always(kComplete));
  Call();
  RawTarget other(context, Always(kComplete));
  client.SetEndpoint(other.endpoint());
  EXPECT_TRUE(Call().is_whole);
  EXPECT_EQ(other.connections(), 1U);
}

// Guards against a request that may have run being sent again or reported as
// not run: the target accepts the request and closes without sending a byte,
// and this was treated like a failure to connect.
TEST_F(TargetClientTest, EndAfterTheRequestIsAFailureAndIsNotRetried) {
  StartTarget([](RawPeer& peer) { peer.Close(); });
  const RecordingListener got = Call();
  EXPECT_TRUE(got.is_failed);
  EXPECT_FALSE(got.is_connect_failed);
  EXPECT_EQ(target->connections(), 1U);
}

TEST_F(TargetClientTest, RefusedConnectionIsReported) {
  StartTarget(Always(kComplete));
  target->Close();
  EXPECT_TRUE(Call().is_connect_failed);
}

}  // namespace
}  // namespace bulrushmount::testing
