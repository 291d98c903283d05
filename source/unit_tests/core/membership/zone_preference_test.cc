// Tests which availability zones a node distinguishes from its own.

#include "core/membership/zone_preference.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono::seconds;

class ZonePreferenceTest : public testing::Test {
 protected:
  void Add(const std::string& zone, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Member member;
      member.id = NodeId(++m_last_id);
      member.zone = AvailabilityZone(zone);
      member.incarnation = Incarnation(1);
      m_table.Apply(m_now, member);
    }
  }

  // The first members are those that were added first.
  void SetState(std::size_t first, std::size_t count, MemberState state) {
    for (std::size_t i = first; i < first + count; ++i)
      m_table.ApplyState(m_now, NodeId(i + 1), Incarnation(1), state);
  }

  bool IsActive(ZonePreference& zones) {
    zones.Update(m_now, m_table);
    return zones.is_active();
  }

  MemberTable m_table;
  TimePoint m_now = TimePoint() + seconds(100);
  std::uint64_t m_last_id = 0;
};

TEST_F(ZonePreferenceTest, DistinguishesZonesOfEnoughMembers) {
  ZonePreference zones(AvailabilityZone("a"), true);
  Add("a", 4);
  EXPECT_FALSE(IsActive(zones));
  Add("b", 3);
  EXPECT_FALSE(IsActive(zones));
  Add("b", 1);
  Add("", 4);
  EXPECT_TRUE(IsActive(zones));
  EXPECT_EQ(zones.others().size(), 1U);
  EXPECT_FALSE(zones.IsOther(*m_table.Find(NodeId(1))));
  EXPECT_TRUE(zones.IsOther(*m_table.Find(NodeId(5))));
  EXPECT_FALSE(zones.IsOther(*m_table.Find(NodeId(9))));
}

// Guards against members that nobody of their own zone monitors.
TEST_F(ZonePreferenceTest, NodeOfASmallZoneDistinguishesNone) {
  ZonePreference zones(AvailabilityZone("a"), true);
  Add("a", 3);
  Add("b", 10);
  EXPECT_FALSE(IsActive(zones));
}

TEST_F(ZonePreferenceTest, UnnamedOrDisabledDistinguishesNone) {
  Add("a", 4);
  Add("b", 4);
  Add("", 4);
  ZonePreference unnamed(AvailabilityZone(""), true);
  EXPECT_FALSE(IsActive(unnamed));
  ZonePreference disabled(AvailabilityZone("a"), false);
  EXPECT_FALSE(IsActive(disabled));
}

// Guards against a zone whose failure is detected late, because few heartbeats
// reach it; and against full traffic between zones for each dead member.
TEST_F(ZonePreferenceTest, ThirdSuspectOfAnotherZoneEndsTheDistinction) {
  ZonePreference zones(AvailabilityZone("b"), true);
  Add("a", 20);
  Add("b", 20);
  SetState(0, 2, MemberState::kSuspect);
  EXPECT_TRUE(IsActive(zones));
  SetState(2, 1, MemberState::kSuspect);
  EXPECT_FALSE(IsActive(zones));
  SetState(0, 3, MemberState::kDead);
  m_now += ZonePreference::kFaultTime - seconds(1);
  EXPECT_FALSE(IsActive(zones));
  m_now += seconds(2);
  EXPECT_TRUE(IsActive(zones));
}

TEST_F(ZonePreferenceTest, SuspectsOfTheOwnZoneDoNotMatter) {
  ZonePreference zones(AvailabilityZone("a"), true);
  Add("a", 20);
  Add("b", 20);
  SetState(0, 10, MemberState::kSuspect);
  EXPECT_TRUE(IsActive(zones));
}

// Guards against a zone that returns slowly, because few of its members' new
// records cross.
TEST_F(ZonePreferenceTest, ReturnOfAZoneEndsTheDistinction) {
  ZonePreference zones(AvailabilityZone("b"), true);
  Add("a", 20);
  Add("b", 20);
  Add("c", 20);
  SetState(0, 2, MemberState::kDead);
  EXPECT_TRUE(IsActive(zones));
  zones.OnRevived(m_now, *m_table.Find(NodeId(1)));
  EXPECT_FALSE(zones.IsMerging(m_now));
  SetState(2, 18, MemberState::kDead);
  EXPECT_TRUE(IsActive(zones));
  zones.OnRevived(m_now, *m_table.Find(NodeId(1)));
  EXPECT_TRUE(zones.IsMerging(m_now));
  EXPECT_FALSE(IsActive(zones));
  m_now += ZonePreference::kFaultTime;
  EXPECT_TRUE(IsActive(zones));
}

}  // namespace
}  // namespace bulrushmount
