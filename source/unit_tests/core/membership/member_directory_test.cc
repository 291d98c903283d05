// Tests of `member_directory.h` against the fake table.

#include "core/membership/member_directory.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Endpoint AddressOf(std::uint64_t id) {
  return {"127.0.0.1", static_cast<std::uint16_t>(9000 + id)};
}

Member MakeMember(std::uint64_t id) {
  Member member;
  member.id = NodeId(id);
  member.incarnation = Incarnation(1);
  member.gossip_endpoint = AddressOf(id);
  return member;
}

class MemberDirectoryTest : public testing::Test {
 protected:
  // A node's directory and its member table.
  struct Node {
    Node(std::uint64_t id,
         RandomSource& random,
         TableService& service,
         TimePoint now)
        : directory({}, NodeId(id), AddressOf(id), random, service, now) {
      table.Apply(now, MakeMember(id));
    }

    MemberTable table;
    MemberDirectory directory;
  };

  void Run(Node& node, Duration duration) {
    const TimePoint end = m_now + duration;
    for (; m_now < end; m_now += milliseconds(100)) {
      while (node.directory.NextWakeup() <= m_now) {
        node.directory.OnTimer(m_now, node.table);
        m_service.DeliverAll(m_now);
      }
    }
  }

  // Writes rows of nodes that do not exist, in the order of their ids.
  void WriteRows(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t id = first; id <= last; ++id) {
      TableTransact row;
      row.puts = {{MemberRowKey(NodeId(id)), ToString(AddressOf(id)) + " 1"}};
      m_service.table().Apply(row);
    }
  }

  bool HasRow(std::uint64_t id) {
    const std::string key = MemberRowKey(NodeId(id));
    return !m_service.table().Apply(TableGet{key}).rows.empty();
  }

  SeededRandomSource m_random{7};
  FakeTableService m_service;
  TimePoint m_now{hours(1)};
};

TEST_F(MemberDirectoryTest, SecondNodeFindsTheFirst) {
  Node first(1, m_random, m_service, m_now);
  Run(first, seconds(1));
  EXPECT_TRUE(HasRow(1));
  EXPECT_TRUE(first.directory.rows_found());
  Node second(2, m_random, m_service, m_now);
  Run(second, seconds(1));
  EXPECT_EQ(second.directory.TakeDiscoveredEndpoints(second.table),
            std::vector<Endpoint>{AddressOf(1)});
  EXPECT_TRUE(second.directory.TakeDiscoveredEndpoints(second.table).empty());
}

// Guards against a node that started while the table was down and stays
// isolated because it does not retry, and against a load spike when the table
// comes back because nodes retry without back-off.
TEST_F(MemberDirectoryTest, KeepsTryingWithBackOffWhileTheTableIsDown) {
  m_service.SetFault(TableFault::kDown);
  Node node(1, m_random, m_service, m_now);
  Run(node, minutes(5));
  EXPECT_FALSE(node.directory.rows_found());
  EXPECT_LT(m_service.reads() + m_service.writes(), 80U);
  m_service.SetFault(TableFault::kNone);
  Run(node, seconds(30));
  EXPECT_TRUE(HasRow(1));
  EXPECT_TRUE(node.directory.rows_found());
}

TEST_F(MemberDirectoryTest, LeavingDeletesTheRowThoughAnswersAreLost) {
  Node node(1, m_random, m_service, m_now);
  Run(node, seconds(1));
  m_service.FailNext(TableFault::kSilent, 3);
  node.directory.Leave(m_now);
  Run(node, seconds(30));
  EXPECT_TRUE(node.directory.has_left());
  EXPECT_FALSE(HasRow(1));
}

// Guards against rows of crashed nodes that are never deleted: they accumulate,
// and new nodes waste attempts on their addresses.
TEST_F(MemberDirectoryTest, PrunesRowsOfDeadNodesAndKeepsThoseOfLiveOnes) {
  {
    Node dead(2, m_random, m_service, m_now);
    Run(dead, seconds(1));
  }
  Node member(3, m_random, m_service, m_now);
  Run(member, seconds(1));
  Node node(1, m_random, m_service, m_now);
  node.table.Apply(m_now, MakeMember(3));
  Run(node, minutes(5));
  EXPECT_FALSE(HasRow(2));
  EXPECT_TRUE(HasRow(3));
  EXPECT_TRUE(HasRow(1));
}

TEST_F(MemberDirectoryTest, LargeFleetStaysWithinItsShareOfTheTable) {
  constexpr std::uint64_t fleet = 1100;
  Node node(1, m_random, m_service, m_now);
  for (std::uint64_t id = 2; id <= fleet; ++id) {
    node.table.Apply(m_now, MakeMember(id));
  }
  Run(node, hours(6));
  const double node_seconds = 6 * 3600;
  const double reads = static_cast<double>(m_service.reads() * fleet);
  const double writes = static_cast<double>(m_service.writes() * fleet);
  EXPECT_LT(reads / node_seconds, 0.5);
  EXPECT_LT(writes / node_seconds, 3);
}

// Guards against every node writing a row when hundreds start at once: that
// takes three table requests per node, although a new node tries only a few of
// the rows.
TEST_F(MemberDirectoryTest, WritesNoRowIfThereAreEnough) {
  WriteRows(101, 100 + MemberDirectorySettings{}.wanted_rows);
  Node node(1, m_random, m_service, m_now);
  Run(node, milliseconds(500));
  EXPECT_EQ(node.directory.TakeDiscoveredEndpoints(node.table).size(), 8U);
  node.table.Apply(m_now, MakeMember(101));
  Run(node, seconds(5));
  EXPECT_EQ(m_service.reads() + m_service.writes(), 1U);
  node.directory.Leave(m_now);
  EXPECT_TRUE(node.directory.has_left());
  EXPECT_EQ(m_service.reads() + m_service.writes(), 1U);
}

// Guards against a new node that stays isolated or scans the table repeatedly
// because it tries only the first addresses of a scan, when most rows belong to
// nodes that are gone.
TEST_F(MemberDirectoryTest, TriesAllFoundAddressesBeforeItScansAgain) {
  WriteRows(101, 100 + MemberDirectorySettings{}.wanted_rows);
  Node node(1, m_random, m_service, m_now);
  std::vector<Endpoint> tried;
  for (int step = 0; step < 100; ++step) {
    Run(node, milliseconds(100));
    for (const Endpoint& endpoint :
         node.directory.TakeDiscoveredEndpoints(node.table))
      tried.push_back(endpoint);
    if (step == 5)
      EXPECT_EQ(m_service.reads() + m_service.writes(), 1U);
  }
  std::sort(tried.begin(), tried.end(),
            [](const Endpoint& left, const Endpoint& right) {
              return left.port < right.port;
            });
  tried.erase(std::unique(tried.begin(), tried.end()), tried.end());
  EXPECT_EQ(tried.size(), MemberDirectorySettings{}.wanted_rows);
  // Afterwards it writes a row, so that others can find it.
  EXPECT_TRUE(HasRow(1));
}

// Guards against trying rows in key order: after a restart at new addresses the
// table holds many rows of nodes that are gone, and new nodes would try those
// first.
TEST_F(MemberDirectoryTest, TriesTheNewestRowsFirst) {
  WriteRows(101, 300);
  Node node(1, m_random, m_service, m_now);
  Run(node, milliseconds(200));
  for (const Endpoint& endpoint :
       node.directory.TakeDiscoveredEndpoints(node.table))
    EXPECT_GT(endpoint.port, AddressOf(236).port);
}

// Guards against a node that waits for the end of its back-off, which can
// exceed ten seconds, although another part of it has already got a response
// from the table.
TEST_F(MemberDirectoryTest, ScansAtOnceWhenTheTableIsAvailableAgain) {
  m_service.SetFault(TableFault::kDown);
  Node node(1, m_random, m_service, m_now);
  Run(node, minutes(1));
  m_service.SetFault(TableFault::kNone);
  EXPECT_FALSE(node.directory.rows_found());
  node.directory.OnTableAvailable(m_now);
  Run(node, milliseconds(200));
  EXPECT_TRUE(node.directory.rows_found());
}

TEST_F(MemberDirectoryTest, IgnoresUnreadableRows) {
  TableTransact transact;
  transact.puts = {{"member/zz", "127.0.0.1:1 1"},
                   {MemberRowKey(NodeId(5)), "nonsense"},
                   {MemberRowKey(NodeId(6)), "127.0.0.1:9006 4 later-field"}};
  m_service.table().Apply(transact);
  Node node(1, m_random, m_service, m_now);
  Run(node, seconds(1));
  EXPECT_EQ(node.directory.TakeDiscoveredEndpoints(node.table),
            std::vector<Endpoint>{AddressOf(6)});
}

}  // namespace
}  // namespace bulrushmount
