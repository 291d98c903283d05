// Tests that burn reports are collected from other nodes over node streams, and
// that such a control request never reaches a target.

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "core/reporting/burn_report_format.h"
#include "core/transport/operators/burn_report_collector.h"
#include "core/transport/peers/control_request_handler.h"
#include "core/transport/peers/node_stream_codec.h"
#include "core/transport/peers/node_stream_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

class HoldingAcceptor : public WorkAcceptor {
 public:
  void OnWork(std::shared_ptr<WorkStream> stream) override {
    works.push_back(std::move(stream));
  }
  std::vector<std::shared_ptr<WorkStream>> works;
};

// A part with `series` numbered series of `answered` calls each.
BurnReport MakePart(std::uint64_t answered, std::size_t series = 1) {
  BurnReport part;
  part.nodes = 1;
  for (std::size_t index = 0; index < series; ++index) {
    BurnSeries one;
    one.workspace = WorkspaceName("studio");
    one.service = ServiceName("desk");
    one.kind = KindName("kind" + std::to_string(100000 + index));
    one.objective = {0.99, std::chrono::milliseconds(50)};
    one.outcomes.answered = answered;
    part.series.push_back(one);
  }
  return part;
}

// A peer that answers with `text`; without a text it refuses the request.
struct Peer {
  Peer(boost::asio::io_context& context, const std::optional<std::string>& text)
      : server(context, controls) {
    if (text) {
      controls.Add(kBurnControl, [text] { return *text; });
    }
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
  }

  HoldingAcceptor acceptor;
  ControlRequestHandler controls{acceptor};
  NodeStreamServer server;
};

class BurnReportCollectorTest : public ::testing::Test {
 public:
  Endpoint AddPeer(const std::optional<std::string>& text) {
    peers.push_back(std::make_unique<Peer>(context, text));
    return peers.back()->server.endpoint();
  }

  // A peer that accepts the request like a normal work and never answers.
  Endpoint AddSilentPeer() {
    silent_server = std::make_unique<NodeStreamServer>(context, silent);
    EXPECT_TRUE(silent_server->Listen({"127.0.0.1", 0}));
    return silent_server->endpoint();
  }

  std::optional<BurnReport> Collect(
      const BurnReport& own,
      std::vector<Endpoint> endpoints,
      const BurnReportCollectorSettings& settings) {
    BurnReportCollector collector(context.get_executor(), client, settings);
    std::optional<BurnReport> collected;
    collector.Collect(
        own, std::move(endpoints),
        [&collected](const BurnReport& report) { collected = report; });
    EXPECT_FALSE(collected);
    EXPECT_TRUE(
        RunUntil(context, [&collected] { return collected.has_value(); }));
    return collected;
  }

  boost::asio::io_context context;
  std::vector<std::unique_ptr<Peer>> peers;
  HoldingAcceptor silent;
  std::unique_ptr<NodeStreamServer> silent_server;
  NodeStreamClient client{context.get_executor()};
};

constexpr Duration kShortLimit = std::chrono::milliseconds(100);

TEST_F(BurnReportCollectorTest, ReturnsItsOwnPartWithoutPeers) {
  EXPECT_EQ(Collect(MakePart(3), {}, {}), MakePart(3));
}

TEST_F(BurnReportCollectorTest, MergesAllParts) {
  const Endpoint first = AddPeer(ToJson(MakePart(5)));
  const Endpoint second = AddPeer(ToJson(MakePart(7)));
  const auto report = Collect(MakePart(3), {first, second}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 3U);
  EXPECT_EQ(report->nodes_missing, 0U);
  ASSERT_EQ(report->series.size(), 1U);
  EXPECT_EQ(report->series[0].outcomes.answered, 15U);
  EXPECT_TRUE(peers[0]->acceptor.works.empty());
}

TEST_F(BurnReportCollectorTest, AcceptsAPartOfManyChunks) {
  const BurnReport part = MakePart(2, 1000);
  const std::string json = ToJson(part);
  ASSERT_GT(json.size(), 2 * kMaxChunkBytes);
  const auto report = Collect(BurnReport(), {AddPeer(json)}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->series, part.series);
}

TEST_F(BurnReportCollectorTest, CountsAnUnreadablePartAsMissing) {
  const auto report = Collect(MakePart(3), {AddPeer("{\"nodes\":")}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 1U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

TEST_F(BurnReportCollectorTest, CountsATooLongPartAsMissing) {
  BurnReportCollectorSettings settings;
  settings.max_part_bytes = 1000;
  const Endpoint peer = AddPeer(ToJson(MakePart(2, 1000)));
  const auto report = Collect(MakePart(3), {peer}, settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes_missing, 1U);
  EXPECT_EQ(report->series.size(), 1U);
}

TEST_F(BurnReportCollectorTest, CountsARefusalAsMissing) {
  const auto report = Collect(MakePart(3), {AddPeer(std::nullopt)}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Guards against a report that never completes: a member was killed, and the
// request to it is sent before the fleet has detected that.
TEST_F(BurnReportCollectorTest, CountsAnUnreachableNodeAsMissing) {
  const Endpoint unreachable = AddPeer(std::nullopt);
  const Endpoint reachable = AddPeer(ToJson(MakePart(5)));
  peers[0]->server.Close();
  const auto report = Collect(MakePart(3), {unreachable, reachable}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 2U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Guards against a report that never completes: a member is suspended while its
// kernel still accepts connections, and the wait for a part had no time limit.
TEST_F(BurnReportCollectorTest, CountsASilentNodeAsMissing) {
  BurnReportCollectorSettings settings;
  settings.part_timeout = kShortLimit;
  settings.max_concurrent_requests = 1;
  const Endpoint silent_peer = AddSilentPeer();
  const Endpoint reachable = AddPeer(ToJson(MakePart(5)));
  const auto report = Collect(MakePart(3), {silent_peer, reachable}, settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 2U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Guards against a report that takes a second for each of many unresponsive
// nodes, such as those of a disconnected region: only single parts had a time
// limit.
TEST_F(BurnReportCollectorTest,
       ReturnsAtTheTotalTimeoutAndLimitsConcurrentRequests) {
  BurnReportCollectorSettings settings;
  settings.total_timeout = kShortLimit;
  settings.max_concurrent_requests = 16;
  const Endpoint silent_peer = AddSilentPeer();
  const auto report =
      Collect(MakePart(3), std::vector<Endpoint>(40, silent_peer), settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 1U);
  EXPECT_EQ(report->nodes_missing, 40U);
  EXPECT_LE(silent.works.size(), 16U);
}

TEST_F(BurnReportCollectorTest, ConcurrentCallsShareOneCollection) {
  const Endpoint peer = AddPeer(ToJson(MakePart(5)));
  BurnReportCollector collector(context.get_executor(), client, {});
  std::vector<BurnReport> reports;
  const auto keep = [&reports](const BurnReport& report) {
    reports.push_back(report);
  };
  collector.Collect(MakePart(3), {peer}, keep);
  collector.Collect(MakePart(3), {peer}, keep);
  ASSERT_TRUE(RunUntil(context, [&reports] { return reports.size() == 2; }));
  EXPECT_EQ(reports[0], reports[1]);
  EXPECT_EQ(reports[0].nodes, 2U);
}

// Guards against a use after free when a node shuts down during a collection:
// the listeners of the requests outlived the object that they notify.
TEST_F(BurnReportCollectorTest, MayBeDestroyedDuringACollection) {
  const Endpoint peer = AddSilentPeer();
  {
    BurnReportCollector collector(context.get_executor(), client, {});
    collector.Collect(MakePart(3), {peer}, [](const BurnReport&) { FAIL(); });
    ASSERT_TRUE(RunUntil(context, [this] { return !silent.works.empty(); }));
  }
  context.poll();
}

// Guards against a caller reading the node's report, or a call being taken for
// a control request: control requests were recognized by a path or field that a
// caller can send.
TEST_F(BurnReportCollectorTest, CallersRequestIsNoControlRequest) {
  WorkRequest request;
  request.work.method = "GET";
  request.work.target = "/bulrushmount/burn";
  request.headers.push_back({"Bulrushmount-Control", "burn"});
  const auto decoded = DecodeRequest(EncodeRequest(request));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->control, "");
  const auto control_request =
      DecodeRequest(EncodeRequest(MakeControlRequest(kBurnControl)));
  ASSERT_TRUE(control_request);
  EXPECT_EQ(control_request->control, kBurnControl);
}

}  // namespace
}  // namespace bulrushmount::testing
