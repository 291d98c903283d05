// Tests of `core/contracts/config_sync.h` and of the modules that it uses.

#include "core/contracts/config_sync.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/contracts/config_fleet.h"
#include "unit_tests/core/contracts/contract_texts.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Advances until `revision` is in force everywhere; false after `limit`.
bool RunUntilInForce(ConfigFleet& fleet, Revision revision, Duration limit) {
  const TimePoint end = fleet.now + limit;
  while (fleet.now < end && fleet.CountInForce(revision) < fleet.nodes.size())
    fleet.Advance(milliseconds(10));
  return fleet.CountInForce(revision) == fleet.nodes.size();
}

void IntroduceAll(ConfigFleet& fleet) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    for (std::size_t j = 0; j < fleet.nodes.size(); ++j) {
      if (i != j)
        fleet.Introduce(i, j);
    }
  }
}

TEST(ConfigSyncTest, PropagatesAChange) {
  ConfigFleet fleet(5, 1);
  IntroduceAll(fleet);
  fleet.Write(0, "a", 1);
  EXPECT_TRUE(RunUntilInForce(fleet, Revision(1), seconds(5)));
}

TEST(ConfigSyncTest, KnowsThatTheTableIsEmpty) {
  ConfigFleet fleet(1, 1);
  EXPECT_FALSE(fleet.nodes[0]->store.is_known());
  for (int i = 0; i < 30; ++i)
    fleet.Advance(milliseconds(100));
  EXPECT_TRUE(fleet.nodes[0]->store.is_known());
}

// Guards against a replacement node that cannot serve while the store is down
// because it looks for the configuration in the table only.
TEST(ConfigSyncTest, NewNodeFetchesFromPeersWhileTheStoreIsDown) {
  ConfigFleet fleet(3, 1);
  IntroduceAll(fleet);
  // A configuration with more chunks than one request may ask for.
  for (int i = 0; i < 70; ++i) {
    fleet.Write(0, "workspace" + std::to_string(i), 1);
    fleet.Advance(milliseconds(1));
    fleet.Advance(milliseconds(1));
    fleet.Advance(milliseconds(1));
  }
  ASSERT_TRUE(RunUntilInForce(fleet, Revision(70), seconds(10)));
  fleet.table.fake().SetFault(TableFault::kDown);
  fleet.Replace(2);
  fleet.loss = 0.05;
  fleet.Introduce(2, 0);
  EXPECT_TRUE(RunUntilInForce(fleet, Revision(70), seconds(20)));
}

TEST(ConfigSyncTest, ReadsTheTableWhenPeersAreSilent) {
  ConfigFleet fleet(3, 1);
  fleet.loss = 1;
  IntroduceAll(fleet);
  fleet.Write(0, "a", 1);
  EXPECT_TRUE(RunUntilInForce(fleet, Revision(1), seconds(10)));
}

TEST(ConfigSyncTest, ReportsTheAgeOfItsConfirmation) {
  ConfigFleet fleet(2, 1);
  fleet.Introduce(0, 1);
  ConfigSync& sync = *fleet.nodes[0]->sync;
  EXPECT_EQ(sync.AgeOfConfirmation(fleet.now), std::nullopt);
  for (int i = 0; i < 100; ++i)
    fleet.Advance(milliseconds(100));
  EXPECT_LT(sync.AgeOfConfirmation(fleet.now), seconds(5));
  fleet.table.fake().SetFault(TableFault::kDown);
  for (int i = 0; i < 600; ++i)
    fleet.Advance(milliseconds(100));
  EXPECT_GT(sync.AgeOfConfirmation(fleet.now), seconds(55));
  EXPECT_LT(sync.AgeOfConfirmation(fleet.now), seconds(65));
}

TEST(ConfigSyncTest, ConfirmsThroughPeers) {
  ConfigFleet fleet(2, 1);
  IntroduceAll(fleet);
  fleet.nodes[0]->sync->SetMemberCount(fleet.now, 1'000'000);
  for (int i = 0; i < 600; ++i)
    fleet.Advance(milliseconds(100));
  // Node 0 hardly ever polls; node 1 does and notifies it.
  EXPECT_LT(fleet.nodes[0]->sync->AgeOfConfirmation(fleet.now), seconds(8));
}

TEST(ConfigSyncTest, IgnoresInvalidDatagrams) {
  ConfigFleet fleet(1, 1);
  ConfigSync& sync = *fleet.nodes[0]->sync;
  const Endpoint stranger{"10.9.9.9", 1};
  for (const std::string payload : {"", "x", "\x0a\xff\xff", "\x12\x00"})
    sync.OnDatagram(fleet.now, stranger, payload);
  BatchChunk chunk{Revision(0), Revision(9), 0, 5, 3, "data", false};
  sync.OnDatagram(fleet.now, stranger, EncodeDatagram(chunk));
  EXPECT_EQ(fleet.nodes[0]->store.revision(), Revision(0));
}

TEST(ConfigTransferTest, DatagramsStayBelowTheMaximumSize) {
  BatchChunk chunk{Revision(UINT64_MAX),
                   Revision(UINT64_MAX),
                   UINT64_MAX,
                   kMaxChunks,
                   kMaxChunks,
                   std::string(kChunkBytes, 'x'),
                   true};
  EXPECT_LE(EncodeDatagram(chunk).size(), kMaxDatagramPayload);
  BatchRequest request{
      Revision(UINT64_MAX), Revision(UINT64_MAX), UINT64_MAX,
      std::vector<std::uint32_t>(kMaxChunksPerRequest, UINT32_MAX)};
  EXPECT_LE(EncodeDatagram(request).size(), kMaxDatagramPayload);
}

TEST(ConfigTransferTest, RejectsAlteredBytes) {
  const std::string bytes = EncodeBatch({Revision(0), Revision(1), {}});
  ConfigDownload download{Revision(0)};
  EXPECT_EQ(
      download.OnChunk({Revision(0), Revision(1), 12345, 0, 1, bytes, false}),
      ChunkResult::kComplete);
  EXPECT_EQ(download.Decode(), std::nullopt);
}

// --- Differential -----------------------------------------------------------

void CheckAgainstHistory(const ConfigFleet& fleet,
                         std::vector<std::uint64_t>& revisions) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    const ContractStore& store = fleet.nodes[i]->store;
    RC_ASSERT(store.revision().value() >= revisions[i]);
    revisions[i] = store.revision().value();
    RC_ASSERT(store.ChangesSince(Revision(0)) ==
              fleet.table.Replay(store.revision()));
  }
}

void RandomStep(ConfigFleet& fleet, std::vector<std::uint64_t>& revisions) {
  const std::size_t index = fleet.random.Index(fleet.nodes.size());
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
    case 1:
      return fleet.Write(index, *rc::gen::element<std::string>("a", "b", "c"),
                         1 + static_cast<double>(fleet.random.Index(1000)),
                         *rc::gen::inRange(0, 4) == 0);
    case 2:
    case 3:
      return fleet.DeliverDatagram(*rc::gen::inRange(0, 3) == 0);
    case 4:
      fleet.table.fake().DeliverNext(fleet.now);
      return;
    case 5:
      return fleet.table.fake().FailNext(
          *rc::gen::element(TableFault::kNone, TableFault::kDown,
                            TableFault::kSilent, TableFault::kAnswerLost));
    case 6:
      return fleet.Introduce(index, fleet.random.Index(fleet.nodes.size()));
    case 7:
      fleet.Replace(index);
      revisions[index] = 0;
      return;
    case 8:
      fleet.nodes[index]->is_cut = !fleet.nodes[index]->is_cut;
      return;
    case 9:
      return fleet.table.DelayNextTransaction();
    case 10:
      return fleet.table.ApplyLate();
    default:
      return fleet.Advance(milliseconds(*rc::gen::inRange(1, 400)));
  }
}

// Under concurrent operators, lost responses, late transactions, an unavailable
// store, lost and reordered datagrams, and nodes that are cut off and replaced:
// a node's configuration always equals the naive model's at the same revision,
// its revision never decreases, accepted changes persist, and in the end all
// nodes agree.
RC_GTEST_PROP(ConfigSyncProperty, FollowsTheHistory, ()) {
  ConfigFleet fleet(4, *rc::gen::arbitrary<std::uint64_t>());
  fleet.max_delay = milliseconds(300);
  std::vector<std::uint64_t> revisions(fleet.nodes.size(), 0);
  const int steps = *rc::gen::inRange(20, 200);
  for (int step = 0; step < steps; ++step) {
    RandomStep(fleet, revisions);
    CheckAgainstHistory(fleet, revisions);
  }
  RC_ASSERT(fleet.table.revision().value() >= fleet.accepted);

  for (const auto& node : fleet.nodes)
    node->is_cut = false;
  IntroduceAll(fleet);
  for (int step = 0; step < 200; ++step) {
    fleet.Advance(milliseconds(100));
    fleet.table.ApplyLate();
  }
  CheckAgainstHistory(fleet, revisions);
  RC_ASSERT(fleet.CountInForce(fleet.table.revision()) == fleet.nodes.size());
}

}  // namespace
}  // namespace bulrushmount
