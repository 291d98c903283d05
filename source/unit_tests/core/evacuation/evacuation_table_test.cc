// Tests of `core/evacuation/evacuation_table.h`.

#include "core/evacuation/evacuation_table.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

const AvailabilityZone kZone("quito-a");
const AvailabilityZone kOther("quito-b");

TablePosition At(std::uint64_t epoch, std::uint64_t version) {
  return {TableEpoch(epoch), RowVersion(version)};
}

EvacuationRead Scan(TablePosition as_of, std::vector<ZoneEvacuation> zones) {
  return {as_of, /*is_complete=*/true, std::move(zones)};
}

EvacuationRead Change(const ZoneEvacuation& zone) {
  return {zone.position, /*is_complete=*/false, {zone}};
}

class EvacuationTableTest : public ::testing::Test {
 protected:
  TimePoint m_now{std::chrono::hours(1)};
  EvacuationTable m_table{EvacuationSettings{{kZone, kOther}}};
};

// Guards against requests in an evacuated zone right after the start of a node.
TEST_F(EvacuationTableTest, ServesNoZoneBeforeACompleteRead) {
  EXPECT_FALSE(m_table.MayServe(kZone));
  m_table.OnRead(m_now, Change({kOther, true, At(1, 5)}));
  EXPECT_FALSE(m_table.MayServe(kZone));
  m_table.OnRead(m_now, Scan(At(1, 6), {}));
  EXPECT_TRUE(m_table.MayServe(kZone));
}

TEST_F(EvacuationTableTest, FollowsChanges) {
  m_table.OnRead(m_now, Scan(At(1, 4), {}));
  EXPECT_TRUE(m_table.OnRead(m_now, Change({kZone, true, At(1, 5)})));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
  EXPECT_TRUE(m_table.OnRead(m_now, Change({kZone, false, At(1, 6)})));
  EXPECT_TRUE(m_table.MayServe(kZone));
}

TEST_F(EvacuationTableTest, EndsAnEvacuationWhoseRowIsMissing) {
  m_table.OnRead(m_now, Scan(At(1, 6), {{kZone, true, At(1, 5)}}));
  EXPECT_TRUE(m_table.OnRead(m_now, Scan(At(1, 9), {})));
  EXPECT_FALSE(m_table.IsEvacuated(kZone));
}

// Guards against a delayed reply of the table that reverts an evacuation.
TEST_F(EvacuationTableTest, IgnoresAnOlderRead) {
  m_table.OnRead(m_now, Scan(At(1, 6), {{kZone, true, At(1, 6)}}));
  EXPECT_FALSE(m_table.OnRead(m_now, Scan(At(1, 5), {})));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
}

// Guards against the loss of an evacuation that a restored copy of the table
// lacks.
TEST_F(EvacuationTableTest, HoldsAnEvacuationAcrossARestore) {
  m_table.OnRead(m_now, Scan(At(1, 60), {{kZone, true, At(1, 60)}}));
  m_table.OnRead(m_now + 1s, Scan(At(2, 40), {}));
  m_table.OnRead(m_now + 5s, Scan(At(2, 50), {}));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
  // The operator's row is written again, and later removed.
  EXPECT_FALSE(m_table.OnRead(m_now + 6s, Change({kZone, true, At(2, 51)})));
  EXPECT_TRUE(m_table.OnRead(m_now + 9s, Scan(At(2, 58), {})));
  EXPECT_FALSE(m_table.IsEvacuated(kZone));
}

TEST_F(EvacuationTableTest, EndsAHeldEvacuationThatIsNotWrittenAgain) {
  m_table.OnRead(m_now, Scan(At(1, 60), {{kZone, true, At(1, 60)}}));
  m_table.OnRead(m_now + 1s, Scan(At(2, 40), {}));
  EXPECT_TRUE(m_table.OnRead(m_now + 120s, Scan(At(2, 50), {})));
  EXPECT_FALSE(m_table.IsEvacuated(kZone));
}

TEST_F(EvacuationTableTest, HoldsAcrossTwoRestores) {
  m_table.OnRead(m_now, Scan(At(1, 60), {{kZone, true, At(1, 60)}}));
  m_table.OnRead(m_now + 1s, Scan(At(2, 40), {}));
  m_table.OnRead(m_now + 50s, Scan(At(3, 30), {}));
  m_table.OnRead(m_now + 70s, Scan(At(3, 35), {}));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
}

// Guards against a delayed reply of the table from before its restore.
TEST_F(EvacuationTableTest, IgnoresAnEarlierEpoch) {
  m_table.OnRead(m_now, Scan(At(2, 40), {{kZone, true, At(2, 40)}}));
  EXPECT_FALSE(m_table.OnRead(m_now, Scan(At(1, 90), {})));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
}

TEST_F(EvacuationTableTest, DetectsARestoreFromAPeerReport) {
  m_table.OnRead(m_now, Scan(At(1, 60), {{kZone, true, At(1, 60)}}));
  m_table.OnPeerReport(m_now, {TableEpoch(2), {}});
  EXPECT_EQ(m_table.epoch(), TableEpoch(2));
  EXPECT_TRUE(m_table.IsEvacuated(kZone));
}

TEST_F(EvacuationTableTest, IgnoresAnUnknownZone) {
  const AvailabilityZone unknown("nowhere");
  EXPECT_FALSE(
      m_table.OnRead(m_now, Scan(At(1, 6), {{unknown, true, At(1, 6)}})));
  EXPECT_FALSE(m_table.IsEvacuated(unknown));
}

TEST(EvacuationTableBoundTest, KeepsAtMostTheMaximumNumberOfZones) {
  EvacuationTable table{EvacuationSettings{}};
  std::vector<ZoneEvacuation> zones;
  for (std::uint64_t i = 1; i <= 2 * EvacuationTable::kMaxZones; ++i)
    zones.push_back({AvailabilityZone(std::to_string(i)), true, At(1, i)});
  table.OnRead(TimePoint(1s), Scan(At(1, 99), zones));
  EXPECT_EQ(table.Report().zones.size(), EvacuationTable::kMaxZones);
}

// Reports that arrive in any order, late or twice, lead to the same state on
// all nodes: that of the newest change of each zone.
RC_GTEST_PROP(EvacuationTableProperty, MergesInAnyOrder, ()) {
  const TimePoint now(1s);
  const auto count = *rc::gen::inRange(1, 20);
  std::vector<EvacuationReport> reports;
  for (int i = 0; i < count; ++i) {
    const auto epoch = *rc::gen::inRange<std::uint64_t>(1, 3);
    const auto version = *rc::gen::inRange<std::uint64_t>(1, 40);
    const bool is_first = *rc::gen::arbitrary<bool>();
    // Each table change has exactly one state per zone.
    const bool is_evacuated = (epoch + version) % 2 == 0;
    reports.push_back(
        {TableEpoch(epoch),
         {{is_first ? kZone : kOther, is_evacuated, At(epoch, version)}}});
  }
  EvacuationTable forward{EvacuationSettings{}};
  EvacuationTable backward{EvacuationSettings{}};
  for (const EvacuationReport& report : reports)
    forward.OnPeerReport(now, report);
  std::reverse(reports.begin(), reports.end());
  for (const EvacuationReport& report : reports)
    backward.OnPeerReport(now, report);
  RC_ASSERT(forward.Report() == backward.Report());
  RC_ASSERT(!forward.IsNewerThan(backward.Report()));
}

}  // namespace
}  // namespace bulrushmount
