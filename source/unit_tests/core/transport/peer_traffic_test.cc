// Tests how the bytes sent to other nodes are counted.

#include "core/reporting/peer_traffic.h"

#include <chrono>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "core/transport/peers/node_stream_client.h"
#include "core/transport/peers/node_stream_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

constexpr std::size_t kBodyBytes = 5000;

class CountingListener : public AttemptListener {
 public:
  void OnRefused(Reason, const LoadReport&) override { is_over = true; }
  void OnAnswer(AnswerHead,
                const LoadReport&,
                std::shared_ptr<BodySource> body) override {
    m_body = std::move(body);
    Read();
  }
  void OnFailed(Reason, const LoadReport&) override { is_over = true; }
  void OnLost(bool, Reason) override { is_over = true; }

  bool is_over = false;

 private:
  void Read() {
    m_body->Read([this](const BodyRead& chunk) {
      if (chunk.status == BodyStatus::kChunk) {
        Read();
      } else {
        is_over = true;
      }
    });
  }

  std::shared_ptr<BodySource> m_body;
};

// Answers GET with a body, and refuses all else.
class MixedAcceptor : public WorkAcceptor {
 public:
  void OnWork(std::shared_ptr<WorkStream> stream) override {
    if (stream->request().work.method != "GET") {
      stream->Refuse(Reason::kOverloaded, {});
    } else {
      const auto sink =
          stream->Answer({200, {}, {BodyFraming::kLength, kBodyBytes}}, {});
      sink->Write(std::string(kBodyBytes, 'x'),
                  [sink](bool) { sink->Finish([](bool) {}); });
    }
    streams.push_back(std::move(stream));
  }
  std::vector<std::shared_ptr<WorkStream>> streams;
};

class PeerTrafficTest : public ::testing::Test {
 public:
  PeerTrafficTest() {
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
    const Endpoint gossip{"127.0.0.1", 1};
    entry_traffic.SetPeer(NodeId(2), server.endpoint(), gossip,
                          ZoneDistance::kSameRegion);
    owner_traffic.SetPeer(NodeId(1), {"127.0.0.1", 2}, gossip,
                          ZoneDistance::kOtherRegion);
    client.CountTo(&entry_traffic);
    server.CountTo(&owner_traffic);
  }

  void Send(const std::string& method) {
    WorkRequest request;
    request.work.method = method;
    request.work.target = "/a";
    request.work.entry = NodeId(1);
    request.work.time_left = std::chrono::seconds(1);
    CountingListener listener;
    const auto stream = client.Open(server.endpoint(), request, &listener);
    EXPECT_TRUE(RunUntil(context, [&] { return listener.is_over; }));
    // The owner's end of the stream closes with its last frame.
    EXPECT_TRUE(RunUntil(context, [this] { return server.IsIdle(); }));
  }

  boost::asio::io_context context;
  PeerTraffic entry_traffic;
  PeerTraffic owner_traffic;
  MixedAcceptor acceptor;
  NodeStreamServer server{context, acceptor};
  NodeStreamClient client{context.get_executor()};
};

// Guards against answers and requests that are missing, or counted for another
// cause or distance.
TEST_F(PeerTrafficTest, StreamsAreCountedByCauseAndDistance) {
  Send("GET");
  EXPECT_GT(
      entry_traffic.Bytes(TrafficCause::kRequest, ZoneDistance::kSameRegion),
      40U);
  EXPECT_GT(
      owner_traffic.Bytes(TrafficCause::kAnswer, ZoneDistance::kOtherRegion),
      kBodyBytes);
  EXPECT_LT(
      owner_traffic.Bytes(TrafficCause::kAnswer, ZoneDistance::kOtherRegion),
      kBodyBytes + 200);
  for (const TrafficCause cause :
       {TrafficCause::kRequest, TrafficCause::kAnswer,
        TrafficCause::kRefusedAttempt}) {
    EXPECT_EQ(entry_traffic.Bytes(cause, ZoneDistance::kSameZone), 0U);
    EXPECT_EQ(owner_traffic.Bytes(cause, ZoneDistance::kSameZone), 0U);
  }
  EXPECT_GT(
      entry_traffic.Bytes(TrafficCause::kOther, ZoneDistance::kSameRegion), 0U);
}

// Guards against refused attempts that appear as useful traffic.
TEST_F(PeerTrafficTest, RefusedAttemptsAreCountedApart) {
  Send("POST");
  EXPECT_GT(entry_traffic.Bytes(TrafficCause::kRefusedAttempt,
                                ZoneDistance::kSameRegion),
            40U);
  EXPECT_EQ(
      entry_traffic.Bytes(TrafficCause::kRequest, ZoneDistance::kSameRegion),
      0U);
  EXPECT_GT(owner_traffic.Bytes(TrafficCause::kRefusedAttempt,
                                ZoneDistance::kOtherRegion),
            20U);
  EXPECT_EQ(
      owner_traffic.Bytes(TrafficCause::kAnswer, ZoneDistance::kOtherRegion),
      0U);
}

TEST(PeerTrafficPeersTest, AddressThatPassedToAnotherNodeStaysKnown) {
  PeerTraffic traffic;
  const Endpoint stream{"10.0.0.1", 1};
  const Endpoint gossip{"10.0.0.1", 2};
  traffic.SetPeer(NodeId(1), stream, gossip, ZoneDistance::kSameRegion);
  traffic.SetPeer(NodeId(2), stream, gossip, ZoneDistance::kSameRegion);
  traffic.RemovePeer(NodeId(1), stream, gossip);
  EXPECT_EQ(traffic.DistanceOf(gossip), ZoneDistance::kSameRegion);
  EXPECT_EQ(traffic.DistanceOf(NodeId(1)), ZoneDistance::kSameZone);
  traffic.RemovePeer(NodeId(2), stream, gossip);
  EXPECT_EQ(traffic.DistanceOf(gossip), ZoneDistance::kSameZone);
}

}  // namespace
}  // namespace bulrushmount::testing
