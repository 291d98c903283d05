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

// How many of the nodes are on duty five seconds after all know `members`.
std::size_t CountOnDuty(const std::vector<WatchCandidate>& members) {
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
  EXPECT_EQ(CountOnDuty(Fleet(GetParam().nodes, GetParam().zones)),
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

// Symptom: in the first second after a start of all, every node watches the
// table. Sequence: each knows itself and a few others, and takes itself for the
// first of its zone. Cause: it acted on a choice that it unmade a moment later.
TEST(WatchDutyTest, AChoiceHoldsOnlyOnceItHasSettled) {
  const std::vector<WatchCandidate> fleet = Fleet(300, 6);
  WatchDuty duty({}, NodeId(290), kStart);
  duty.SetMembers(kStart, {fleet[289]});
  duty.OnPeerContact(kStart + 1s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 1s));
  EXPECT_EQ(duty.NextChange(kStart + 1s), kStart + 2s);
  // It knows some more, and is still the first of its zone: it waits anew.
  duty.SetMembers(kStart + 1500ms, {fleet[289], fleet[288], fleet[295]});
  duty.OnPeerContact(kStart + 3s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 3s));
  duty.SetMembers(kStart + 3s, fleet);
  duty.OnPeerContact(kStart + 9s);
  EXPECT_FALSE(duty.IsOnDuty(kStart + 9s));
}

// Symptom: a node that reaches the table and no other node serves by an old
// configuration. Sequence: it is cut off from its peers, and a change comes.
// Cause: it left the watch to members that cannot tell it.
TEST(WatchDutyTest, ANodeThatHearsNobodyWatchesByItself) {
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

// The next of the zone takes over from one that is gone.
TEST(WatchDutyTest, AnotherOfTheZoneFollowsOneThatIsGone) {
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
