// Tests of `core/workspace_limits/fleet_view.h`.

#include "core/workspace_limits/fleet_view.h"

#include <gtest/gtest.h>

namespace bulrushmount::detail {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""min;

constexpr TimePoint kStart{std::chrono::hours(1)};

Peer PeerOf(std::uint64_t id, std::uint16_t port) {
  return {NodeId(id), {"127.0.0.1", port}};
}

Peer PeerOf(std::uint64_t id) {
  return PeerOf(id, static_cast<std::uint16_t>(1000 + id));
}

std::vector<FleetMember> Live(std::initializer_list<std::uint64_t> ids) {
  std::vector<FleetMember> live;
  for (const std::uint64_t id : ids)
    live.push_back({PeerOf(id), false});
  return live;
}

class FleetViewTest : public testing::Test {
 protected:
  FleetView m_view{PeerOf(1), kStart};
};

// Guards against two sides of a partition that each admit the whole limit.
TEST_F(FleetViewTest, LowersItsShareWhileMembersAreDead) {
  m_view.SetMembers(kStart, Live({1, 2, 3, 4}), {});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 1);
  m_view.SetMembers(kStart, Live({1, 2}), {PeerOf(3), PeerOf(4)});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 0.5);
}

// Guards against a share that is still whole between the loss of a side and the
// declaration of its members as dead, seconds later.
TEST_F(FleetViewTest, LowersItsShareForSuspects) {
  std::vector<FleetMember> live = Live({1, 2, 3, 4});
  live[3].is_suspect = true;
  m_view.SetMembers(kStart, live, {});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 0.75);
}

// Guards against a limit that stays lower after members left for good, or after
// a machine's process was replaced.
TEST_F(FleetViewTest, DoesNotCountMembersThatLeftOrWereReplaced) {
  m_view.SetMembers(kStart, Live({1, 2, 3}), {});
  m_view.SetMembers(kStart, Live({1, 2}), {});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 1);
  std::vector<FleetMember> live = Live({1});
  live.push_back({PeerOf(9, 1002), false});
  m_view.SetMembers(kStart, live, {PeerOf(2)});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 1);
}

// Guards against a healed partition in which this side admits its old share
// while the other side has not yet lowered its own.
TEST_F(FleetViewTest, RaisesItsShareWithDelay) {
  m_view.SetMembers(kStart, Live({1}), {PeerOf(2)});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart), 0.5);
  m_view.SetMembers(kStart + 5s, Live({1, 2}), {});
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart + 5s), 0.5);
  m_view.OnPeerContact(kStart + 7s);
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart + 7s), 0.5);
  m_view.OnPeerContact(kStart + 8s);
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart + 8s), 1);
}

// Guards against an isolated node that needs most of a minute to find all other
// members dead, and admits the limit for its own callers until then.
TEST_F(FleetViewTest, HasOnlyItsOwnShareWhileItReceivesNothing) {
  m_view.SetMembers(kStart, Live({1, 2, 3, 4}), {});
  m_view.OnPeerContact(kStart);
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart + 1s), 1);
  EXPECT_DOUBLE_EQ(m_view.Scale(kStart + 1600ms), 0.25);
}

// Guards against a machine that is gone for good and lowers the limit for ever.
TEST_F(FleetViewTest, ForgetsDeadMembers) {
  m_view.SetMembers(kStart, Live({1, 2}), {PeerOf(3)});
  EXPECT_EQ(m_view.KnownMembers(kStart + 9min), 3U);
  EXPECT_EQ(m_view.KnownMembers(kStart + 10min), 2U);
}

// Guards against a process that was stopped, declared dead and replaced as the
// home, and grants units again when it continues.
TEST_F(FleetViewTest, LosesItsAuthorityAfterAPauseOrIsolation) {
  m_view.SetMembers(kStart, Live({1, 2}), {});
  EXPECT_FALSE(m_view.CheckAuthority(kStart + 900ms));
  EXPECT_TRUE(m_view.CheckAuthority(kStart + 2s));
  EXPECT_EQ(m_view.authority_since(), kStart + 2s);
  TimePoint now = kStart + 2s;
  for (; now < kStart + 5s; now += 500ms)
    EXPECT_FALSE(m_view.CheckAuthority(now));
  m_view.OnPeerContact(now);
  EXPECT_TRUE(m_view.CheckAuthority(now));
}

// Guards against a node that was idle alone and counts that as a pause.
TEST_F(FleetViewTest, KeepsItsAuthorityAlone) {
  EXPECT_FALSE(m_view.CheckAuthority(kStart + 60s));
}

// Guards against a new home that starts with the units that its predecessor has
// already granted.
TEST_F(FleetViewTest, CountsItsRankFromTheDeathOfPreferredMembers) {
  m_view.SetMembers(kStart, Live({1, 2, 3, 4, 5}), {});
  m_view.SetMembers(kStart + 5s, Live({1, 3, 4, 5}), {PeerOf(2)});
  std::size_t raised = 0;
  for (std::uint64_t key = 0; key < 100; ++key) {
    const bool is_preferred =
        RendezvousScore(key, NodeId(2)) > RendezvousScore(key, NodeId(1));
    raised += is_preferred ? 1 : 0;
    EXPECT_EQ(m_view.RankSince(WorkspaceKey(key)),
              is_preferred ? kStart + 5s : kStart);
  }
  EXPECT_GT(raised, 20U);
}

TEST_F(FleetViewTest, FindsTheHomeAndTheMemberThatFollowsIt) {
  m_view.SetMembers(kStart, Live({1, 2, 3, 4, 5}), {});
  for (std::uint64_t key = 0; key < 50; ++key) {
    const HomeAndDeputy place = m_view.Find(WorkspaceKey(key));
    std::vector<Peer> members;
    for (std::uint64_t id = 1; id <= 5; ++id)
      members.push_back(PeerOf(id));
    const NodeId home = RendezvousHome(members, key)->id;
    EXPECT_EQ(place.home->id, home);
    std::erase_if(members, [&](const Peer& peer) { return peer.id == home; });
    EXPECT_EQ(place.deputy->id, RendezvousHome(members, key)->id);
  }
}

}  // namespace
}  // namespace bulrushmount::detail
