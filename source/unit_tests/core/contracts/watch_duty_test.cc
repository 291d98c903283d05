// Tests of `core/contracts/watch_duty.h`.

#include "core/contracts/watch_duty.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<WatchCandidate> Fleet(std::size_t nodes, std::size_t zones) {
  std::vector<WatchCandidate> fleet;
  for (std::size_t i = 0; i < nodes; ++i) {
    fleet.push_back(
        {NodeId(i + 1), AvailabilityZone(fmt::format("zone-{}", i % zones))});
  }
  return fleet;
}

// Number of nodes that watch five seconds after all of them know `members`.
std::size_t CountWatchers(const std::vector<WatchCandidate>& members) {
  std::size_t count = 0;
  for (const WatchCandidate& member : members) {
    WatchDuty duty({}, member.node, kStart);
    duty.SetMembers(kStart, members);
    duty.OnPeerContact(kStart + 5s);
    count += duty.IsOnDuty(kStart + 5s) ? 1 : 0;
  }
  return count;
}

struct FleetCase {
  std::string name;
  std::size_t nodes = 0;
  std::size_t zones = 0;
  std::size_t watchers = 0;
};

class WatchDutyFleetTest : public testing::TestWithParam<FleetCase> {};

TEST_P(WatchDutyFleetTest, WatchersGrowWithZonesNotWithNodes) {
  EXPECT_EQ(CountWatchers(Fleet(GetParam().nodes, GetParam().zones)),
            GetParam().watchers);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         WatchDutyFleetTest,
                         testing::Values(FleetCase{"Two", 2, 2, 2},
                                         FleetCase{"OneZone", 40, 1, 4},
                                         FleetCase{"ThreeZones", 10, 3, 6},
                                         FleetCase{"SixZones", 300, 6, 12},
                                         FleetCase{"EightZones", 1100, 8, 16}),
                         [](const auto& info) { return info.param.name; });

// Guards against every node watching the table in the first second after all
// nodes start: each knows only itself and a few others, selects itself as the
// first of its zone, and would act on a selection that it revokes a moment
// later.
TEST(WatchDutyTest, SelectionTakesEffectAfterSettling) {
  const std::vector<WatchCandidate> fleet = Fleet(300, 6);
  WatchDuty duty({}, NodeId(290), kStart);
  duty.SetMembers(kStart, {fleet[289]});
  duty.OnPeerContact(kStart + 1s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 1s));
  EXPECT_EQ(duty.NextChange(kStart + 1s), kStart + 2s);
  // It knows more members and is still the first of its zone: the wait
  // restarts.
  duty.SetMembers(kStart + 1500ms, {fleet[289], fleet[288], fleet[295]});
  duty.OnPeerContact(kStart + 3s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 3s));
  duty.SetMembers(kStart + 3s, fleet);
  duty.OnPeerContact(kStart + 9s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 9s));
}

// Guards against a node that keeps an old configuration because it relies on
// watchers that cannot notify it: it is cut off from its peers but reaches the
// table, and a change is written.
TEST(WatchDutyTest, IsolatedNodeWatches) {
  const std::vector<WatchCandidate> fleet = Fleet(300, 6);
  WatchDuty duty({}, NodeId(290), kStart);
  duty.SetMembers(kStart, fleet);
  duty.OnPeerContact(kStart + 5s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 6s));
  EXPECT_EQ(duty.NextChange(kStart + 6s), kStart + 6500ms);
  EXPECT_TRUE(duty.IsOnDuty(kStart + 6500ms));
  duty.OnPeerContact(kStart + 7s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 7s));
}

// The next member of the zone replaces a watcher that is gone.
TEST(WatchDutyTest, NextMemberOfTheZoneReplacesADepartedWatcher) {
  std::vector<WatchCandidate> fleet = Fleet(300, 6);
  WatchDuty duty({}, NodeId(13), kStart);
  duty.SetMembers(kStart, fleet);
  duty.OnPeerContact(kStart + 4s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 4s));
  fleet.erase(fleet.begin());
  duty.SetMembers(kStart + 4s, fleet);
  duty.OnPeerContact(kStart + 6s);
  EXPECT_TRUE(duty.IsOnDuty(kStart + 6s));
}

}  // namespace
}  // namespace bulrushmount
