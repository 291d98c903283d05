// Tests of `membership.h`: several nodes in virtual time, one kind of failure
// per test.

#include "core/membership/membership.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "unit_tests/core/membership/member_network.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;

// Zones a and b form region "west", c and d region "east".
void AddNodes(MemberNetwork& network, std::size_t count) {
  const std::vector<std::string> zones{"a", "b", "c", "d"};
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t zone = i % zones.size();
    network.Add(zone < 2 ? "west" : "east", zones[zone],
                {network.size() == 0 ? 0 : network.size() - 1});
  }
}

// Whether each running node considers exactly the running nodes alive.
bool HasConverged(MemberNetwork& network) {
  for (std::size_t i = 0; i < network.size(); ++i) {
    for (std::size_t j = 0; network.IsUp(i) && j < network.size(); ++j) {
      const bool is_alive = network.StateAt(i, j) == MemberState::kAlive;
      if (is_alive != network.IsUp(j)) {
        return false;
      }
    }
  }
  return true;
}

class MembershipTest : public testing::Test {
 protected:
  void Start(std::size_t count) {
    AddNodes(m_network, count);
    ASSERT_TRUE(m_network.RunUntil([&] { return HasConverged(m_network); },
                                   seconds(30)));
  }

  bool AllOthers(std::size_t subject, MemberState state) {
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      if (i != subject && m_network.IsUp(i) &&
          m_network.StateAt(i, subject) != state) {
        return false;
      }
    }
    return true;
  }

  bool BecomesForAll(std::size_t subject, MemberState state, Duration limit) {
    return m_network.RunUntil([&] { return AllOthers(subject, state); }, limit);
  }

  MemberNetwork m_network{kSeed};
};

TEST_F(MembershipTest, NewNodesDiscoverAllMembers) {
  Start(30);
  EXPECT_EQ(m_network.at(0).phase(), MemberPhase::kMember);
  EXPECT_EQ(m_network.at(7).table().LiveOf(ServiceName("service-a")).size(),
            8U);
}

TEST_F(MembershipTest, IsolatedNodeRuns) {
  AddNodes(m_network, 1);
  m_network.Run(minutes(1));
  EXPECT_EQ(m_network.at(0).phase(), MemberPhase::kJoining);
  EXPECT_EQ(m_network.at(0).counters().datagrams_sent, 0U);
}

// Guards against routing calls to a crashed node. A killed process sends no
// notice, so only missing acks reveal it.
TEST_F(MembershipTest, DeadMemberIsDetectedByAll) {
  Start(20);
  m_network.Kill(3);
  EXPECT_TRUE(BecomesForAll(3, MemberState::kDead, seconds(12)));
}

// Guards against declaring a healthy member dead because only the direct
// heartbeat counts: the path between two nodes is cut, while both reach all
// others.
TEST_F(MembershipTest, IndirectPingsKeepAMemberBehindABrokenPathAlive) {
  Start(8);
  m_network.BreakPath(0, 1);
  m_network.Run(minutes(2));
  EXPECT_TRUE(HasConverged(m_network));
  EXPECT_EQ(m_network.at(0).counters().deaths_declared, 0U);
}

// Guards against a node that declares half the fleet dead after a short stall.
// It gets SIGSTOP with heartbeats outstanding and SIGCONT after every deadline;
// the overdue deadlines must not count as missing acks.
TEST_F(MembershipTest, FrozenNodeSuspectsNoMemberAndRejoins) {
  Start(20);
  const Incarnation before = m_network.at(5).self().incarnation;
  m_network.Freeze(5);
  ASSERT_TRUE(BecomesForAll(5, MemberState::kDead, seconds(12)));
  m_network.Resume(5);
  EXPECT_TRUE(
      m_network.RunUntil([&] { return HasConverged(m_network); }, seconds(10)));
  m_network.Run(seconds(30));
  EXPECT_TRUE(HasConverged(m_network));
  EXPECT_EQ(m_network.at(5).counters().pauses, 1U);
  EXPECT_EQ(m_network.at(5).counters().suspicions, 0U);
  EXPECT_GT(m_network.at(5).self().incarnation, before);
}

// Guards against a departed node that becomes alive again everywhere. A
// freezes; B leaves; the others remove B's tombstone; A resumes and still
// considers B alive. A must not pass on its table before it has refreshed it.
TEST_F(MembershipTest, LongFrozenNodeDoesNotResurrectDepartedMembers) {
  Start(10);
  m_network.Freeze(2);
  m_network.at(4).Leave(m_network.now());
  m_network.Run(seconds(5));
  m_network.Kill(4);
  m_network.Run(minutes(30));
  ASSERT_EQ(m_network.at(0).table().Find(m_network.id(4)), nullptr);
  m_network.Resume(2);
  const auto is_resurrected = [&] {
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      if (i != 4 && m_network.StateAt(i, 4) != MemberState::kDead) {
        return true;
      }
    }
    return false;
  };
  EXPECT_FALSE(m_network.RunUntil(is_resurrected, seconds(30)));
  EXPECT_TRUE(HasConverged(m_network));
}

// Guards against two halves of the fleet that never merge. A region is cut off
// until each side has declared the other dead, and the cut heals; the halves
// only merge if nodes keep pinging dead members.
TEST_F(MembershipTest, HealedRegionsMerge) {
  Start(24);
  for (std::size_t i = 0; i < 24; ++i) {
    m_network.SetSide(i, i % 4 < 2 ? 0 : 1);
  }
  const auto is_split = [&] {
    return m_network.at(0).table().Live().size() == 12 &&
           m_network.at(2).table().Live().size() == 12;
  };
  EXPECT_TRUE(m_network.RunUntil(is_split, minutes(2)));
  m_network.Run(minutes(5));
  for (std::size_t i = 0; i < 24; ++i) {
    m_network.SetSide(i, 0);
  }
  EXPECT_TRUE(
      m_network.RunUntil([&] { return HasConverged(m_network); }, seconds(40)));
}

TEST_F(MembershipTest, DepartureSpreadsAtOnceAndStays) {
  Start(40);
  m_network.at(9).Leave(m_network.now());
  EXPECT_EQ(m_network.at(9).phase(), MemberPhase::kLeaving);
  EXPECT_TRUE(BecomesForAll(9, MemberState::kLeft, seconds(3)));
  m_network.Run(minutes(1));
  EXPECT_TRUE(AllOthers(9, MemberState::kLeft));
  EXPECT_EQ(m_network.at(9).phase(), MemberPhase::kLeft);
  // While it drains it still receives news of others.
  m_network.Kill(8);
  EXPECT_TRUE(m_network.RunUntil(
      [&] { return m_network.StateAt(9, 8) == MemberState::kDead; },
      seconds(20)));
}

// Guards against a replaced node that is never declared dead: a process ends,
// another starts at the same address, and the replacement must not answer
// heartbeats meant for its predecessor.
TEST_F(MembershipTest, ReplacementDoesNotAnswerForItsPredecessor) {
  Start(6);
  m_network.Replace(2, NodeId(777));
  EXPECT_TRUE(m_network.RunUntil(
      [&] {
        const MemberTable& table = m_network.at(0).table();
        return m_network.StateAt(0, 2) == MemberState::kDead &&
               table.Find(NodeId(777)) != nullptr;
      },
      seconds(20)));
}

// Guards against a replacement that stays isolated while the table is down. Its
// predecessor died long before, so no news of that is sent any more, and the
// table provides no addresses; but its peers keep pinging the dead member at
// the same address, and such a ping must not be dropped unread.
TEST_F(MembershipTest, LateReplacementIsFoundByThePingsForItsPredecessor) {
  Start(6);
  // The first node has no seed except itself.
  m_network.Kill(0);
  m_network.Run(seconds(60));
  m_network.Replace(0, NodeId(1000));
  EXPECT_TRUE(m_network.RunUntil(
      [&] { return m_network.at(0).table().Live().size() == m_network.size(); },
      seconds(60)));
}

TEST_F(MembershipTest, TargetAndRevisionReachAll) {
  Start(40);
  TargetSummary draining = *m_network.at(7).self().target;
  draining.is_serving = false;
  m_network.at(7).UpdateSelf(m_network.now(), draining, Revision(9));
  EXPECT_TRUE(m_network.RunUntil(
      [&] {
        bool is_reported = true;
        for (std::size_t i = 0; i < 40; ++i) {
          const Member* member = m_network.at(i).table().Find(m_network.id(7));
          is_reported &= member->target == draining &&
                         m_network.at(i).newest_revision() == Revision(9);
        }
        return is_reported;
      },
      seconds(5)));
}

TEST_F(MembershipTest, QueryRevisionCountsMembersThatLag) {
  Start(12);
  for (std::size_t i = 0; i < 11; ++i) {
    m_network.at(i).UpdateSelf(m_network.now(), m_network.at(i).self().target,
                               Revision(3));
  }
  const auto behind = [&] {
    return m_network.at(0).QueryRevision(m_network.now(), Revision(3), 4);
  };
  EXPECT_TRUE(m_network.RunUntil([&] { return behind() == 1; }, seconds(5)));
  m_network.Run(seconds(1));
  EXPECT_EQ(behind(), 1U);
  m_network.at(11).UpdateSelf(m_network.now(), m_network.at(11).self().target,
                              Revision(4));
  EXPECT_TRUE(m_network.RunUntil([&] { return behind() == 0; }, seconds(5)));
}

TEST_F(MembershipTest, BroadcastReachesEachMemberOnceIncludingNewOnes) {
  Start(30);
  m_network.SetLoss(0.1);
  const BroadcastItem item{BroadcastKind(3), "poison", "suspect", minutes(5)};
  EXPECT_TRUE(m_network.at(0).Broadcast(m_network.now(), item));
  m_network.Run(seconds(20));
  AddNodes(m_network, 1);
  m_network.Run(seconds(20));
  for (std::size_t i = 1; i < m_network.size(); ++i) {
    const auto received = m_network.at(i).TakeBroadcasts();
    ASSERT_EQ(received.size(), 1U) << i;
    EXPECT_EQ(received[0].payload, "suspect");
  }
}

TEST_F(MembershipTest, MalformedDatagramsAreCountedAndChangeNothing) {
  Start(3);
  m_network.at(0).OnDatagram(m_network.now(), NetworkEndpoint(1), "\xff\xff");
  EXPECT_EQ(m_network.at(0).counters().malformed, 1U);
  EXPECT_TRUE(HasConverged(m_network));
}

}  // namespace
}  // namespace bulrushmount
