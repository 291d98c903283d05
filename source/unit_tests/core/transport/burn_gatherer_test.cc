// The burn report gathered from other nodes over node streams, and that such a
// question never reaches a target.

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "core/reporting/burn_report_format.h"
#include "core/transport/operators/burn_gatherer.h"
#include "core/transport/peers/control_works.h"
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

// One series named after its number, with `answered` calls.
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

// A peer; without a text it holds the question and never answers.
struct Peer {
  Peer(boost::asio::io_context& context, const std::optional<std::string>& text)
      : server(context, controls) {
    if (text) {
      controls.Add(kBurnControl, [text] { return *text; });
    }
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
  }

  HoldingAcceptor acceptor;
  ControlWorks controls{acceptor};
  NodeStreamServer server;
};

class BurnGathererTest : public ::testing::Test {
 public:
  Endpoint AddPeer(const std::optional<std::string>& text) {
    peers.push_back(std::make_unique<Peer>(context, text));
    return peers.back()->server.endpoint();
  }

  // A peer that takes the question as if it were a work, and holds it.
  Endpoint AddSilentPeer() {
    silent_server = std::make_unique<NodeStreamServer>(context, silent);
    EXPECT_TRUE(silent_server->Listen({"127.0.0.1", 0}));
    return silent_server->endpoint();
  }

  std::optional<BurnReport> Gather(const BurnReport& own,
                                   std::vector<Endpoint> endpoints,
                                   const BurnGatherSettings& settings) {
    BurnGatherer gatherer(context.get_executor(), client, settings);
    std::optional<BurnReport> gathered;
    gatherer.Gather(
        own, std::move(endpoints),
        [&gathered](const BurnReport& report) { gathered = report; });
    EXPECT_FALSE(gathered);
    EXPECT_TRUE(
        RunUntil(context, [&gathered] { return gathered.has_value(); }));
    return gathered;
  }

  boost::asio::io_context context;
  std::vector<std::unique_ptr<Peer>> peers;
  HoldingAcceptor silent;
  std::unique_ptr<NodeStreamServer> silent_server;
  NodeStreamClient client{context.get_executor()};
};

constexpr Duration kShortLimit = std::chrono::milliseconds(100);

TEST_F(BurnGathererTest, AloneItIsTheOwnPart) {
  EXPECT_EQ(Gather(MakePart(3), {}, {}), MakePart(3));
}

TEST_F(BurnGathererTest, MergesAllParts) {
  const Endpoint first = AddPeer(ToJson(MakePart(5)));
  const Endpoint second = AddPeer(ToJson(MakePart(7)));
  const auto report = Gather(MakePart(3), {first, second}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 3U);
  EXPECT_EQ(report->nodes_missing, 0U);
  ASSERT_EQ(report->series.size(), 1U);
  EXPECT_EQ(report->series[0].outcomes.answered, 15U);
  EXPECT_TRUE(peers[0]->acceptor.works.empty());
}

TEST_F(BurnGathererTest, TakesAPartOfManyChunks) {
  const BurnReport part = MakePart(2, 1000);
  const std::string json = ToJson(part);
  ASSERT_GT(json.size(), 2 * kMaxChunk);
  const auto report = Gather(BurnReport(), {AddPeer(json)}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->series, part.series);
}

TEST_F(BurnGathererTest, CountsAnUnreadablePartAsMissing) {
  const auto report = Gather(MakePart(3), {AddPeer("{\"nodes\":")}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 1U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

TEST_F(BurnGathererTest, CountsATooLongPartAsMissing) {
  BurnGatherSettings settings;
  settings.max_part_bytes = 1000;
  const Endpoint peer = AddPeer(ToJson(MakePart(2, 1000)));
  const auto report = Gather(MakePart(3), {peer}, settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes_missing, 1U);
  EXPECT_EQ(report->series.size(), 1U);
}

TEST_F(BurnGathererTest, CountsARefusalAsMissing) {
  const auto report = Gather(MakePart(3), {AddPeer(std::nullopt)}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Symptom: an operator's report never comes.
// Sequence: a member is killed and its address is asked before the fleet knows.
// Cause: nobody is there to answer.
TEST_F(BurnGathererTest, CountsAGoneNodeAsMissing) {
  const Endpoint gone = AddPeer(std::nullopt);
  const Endpoint there = AddPeer(ToJson(MakePart(5)));
  peers[0]->server.Close();
  const auto report = Gather(MakePart(3), {gone, there}, {});
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 2U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Symptom: an operator's report never comes.
// Sequence: a member is frozen; its kernel still takes connections.
// Cause: waiting for each part without a limit.
TEST_F(BurnGathererTest, CountsASilentNodeAsMissing) {
  BurnGatherSettings settings;
  settings.part_limit = kShortLimit;
  settings.max_asked = 1;
  const Endpoint silent_peer = AddSilentPeer();
  const Endpoint there = AddPeer(ToJson(MakePart(5)));
  const auto report = Gather(MakePart(3), {silent_peer, there}, settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 2U);
  EXPECT_EQ(report->nodes_missing, 1U);
}

// Symptom: a report takes a second for each of many frozen nodes.
// Sequence: a region is cut off; all its nodes are asked, some at a time.
// Cause: only each part had a limit.
TEST_F(BurnGathererTest, GoesOutAtTheWholeLimitAndAsksABoundedNumberAtOnce) {
  BurnGatherSettings settings;
  settings.whole_limit = kShortLimit;
  settings.max_asked = 16;
  const Endpoint silent_peer = AddSilentPeer();
  const auto report =
      Gather(MakePart(3), std::vector<Endpoint>(40, silent_peer), settings);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->nodes, 1U);
  EXPECT_EQ(report->nodes_missing, 40U);
  EXPECT_LE(silent.works.size(), 16U);
}

TEST_F(BurnGathererTest, AskersDuringARoundShareIt) {
  const Endpoint peer = AddPeer(ToJson(MakePart(5)));
  BurnGatherer gatherer(context.get_executor(), client, {});
  std::vector<BurnReport> reports;
  const auto keep = [&reports](const BurnReport& report) {
    reports.push_back(report);
  };
  gatherer.Gather(MakePart(3), {peer}, keep);
  gatherer.Gather(MakePart(3), {peer}, keep);
  ASSERT_TRUE(RunUntil(context, [&reports] { return reports.size() == 2; }));
  EXPECT_EQ(reports[0], reports[1]);
  EXPECT_EQ(reports[0].nodes, 2U);
}

// Symptom: use after free when a node ends.
// Sequence: a round is under way when the process is told to end.
// Cause: the peers' listeners outlived what they tell.
TEST_F(BurnGathererTest, MayBeDestroyedDuringARound) {
  const Endpoint peer = AddSilentPeer();
  {
    BurnGatherer gatherer(context.get_executor(), client, {});
    gatherer.Gather(MakePart(3), {peer}, [](const BurnReport&) { FAIL(); });
    ASSERT_TRUE(RunUntil(context, [this] { return !silent.works.empty(); }));
  }
  context.poll();
}

// Symptom: a caller reads the node's report, or a call vanishes in it.
// Sequence: a caller's request has the path, or the field, of a question.
// Cause: questions told from calls by what a caller can send.
TEST_F(BurnGathererTest, CallersRequestIsNoQuestion) {
  WorkRequest request;
  request.work.method = "GET";
  request.work.target = "/bulrushmount/burn";
  request.headers.push_back({"Bulrushmount-Control", "burn"});
  const auto decoded = DecodeRequest(EncodeRequest(request));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->control, "");
  const auto question =
      DecodeRequest(EncodeRequest(MakeControlRequest(kBurnControl)));
  ASSERT_TRUE(question);
  EXPECT_EQ(question->control, kBurnControl);
}

}  // namespace
}  // namespace bulrushmount::testing
