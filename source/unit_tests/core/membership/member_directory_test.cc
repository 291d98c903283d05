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
  // A node with its directory and its view of the fleet.
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

  // Rows of nodes that are not there, written in the order of their ids.
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
  EXPECT_EQ(second.directory.TakeFound(second.table),
            std::vector<Endpoint>{AddressOf(1)});
  EXPECT_TRUE(second.directory.TakeFound(second.table).empty());
}

// Symptom: a node that started while the table was down stays alone for ever,
// or the table is stormed when it comes back. Sequence: down at start, up
// later. Cause: no repetition, or one without back-off.
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

// Symptom: rows of dead nodes pile up, and newcomers try them in vain.
// Sequence: a node writes its row and crashes. Cause: nobody deletes it.
TEST_F(MemberDirectoryTest, PrunesTheDeadAndKeepsTheLiving) {
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

// Symptom: a start of hundreds of nodes asks the table three times for each of
// them. Sequence: each writes a row, though a newcomer tries a few of them
// only. Cause: nobody looked whether there are rows enough.
TEST_F(MemberDirectoryTest, WritesNoRowWhereThereAreEnough) {
  WriteRows(101, 100 + MemberDirectorySettings{}.wanted_rows);
  Node node(1, m_random, m_service, m_now);
  Run(node, milliseconds(500));
  EXPECT_EQ(node.directory.TakeFound(node.table).size(), 8U);
  node.table.Apply(m_now, MakeMember(101));
  Run(node, seconds(5));
  EXPECT_EQ(m_service.reads() + m_service.writes(), 1U);
  node.directory.Leave(m_now);
  EXPECT_TRUE(node.directory.has_left());
  EXPECT_EQ(m_service.reads() + m_service.writes(), 1U);
}

// Symptom: a newcomer stays alone, or asks the table over and over. Sequence:
// most rows are of nodes that are gone; the first addresses do not answer.
// Cause: the others that were read with them were not tried.
TEST_F(MemberDirectoryTest, TriesAllThatItFoundBeforeItAsksAgain) {
  WriteRows(101, 100 + MemberDirectorySettings{}.wanted_rows);
  Node node(1, m_random, m_service, m_now);
  std::vector<Endpoint> tried;
  for (int step = 0; step < 100; ++step) {
    Run(node, milliseconds(100));
    for (const Endpoint& endpoint : node.directory.TakeFound(node.table))
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
  // Then it keeps a row, so that others find it.
  EXPECT_TRUE(HasRow(1));
}

// Symptom: after a restart at new addresses newcomers try the dead first.
// Sequence: the table holds many rows of nodes that are gone. Cause: rows were
// tried in the order of their keys.
TEST_F(MemberDirectoryTest, TriesTheNewestRowsFirst) {
  WriteRows(101, 300);
  Node node(1, m_random, m_service, m_now);
  Run(node, milliseconds(200));
  for (const Endpoint& endpoint : node.directory.TakeFound(node.table))
    EXPECT_GT(endpoint.port, AddressOf(236).port);
}

// Symptom: a node that started while the table was away knows nobody for ten
// seconds and more after it is back. Cause: it waited out its back-off although
// another part of it had been answered.
TEST_F(MemberDirectoryTest, LooksAtOnceWhenTheTableIsKnownToBeWell) {
  m_service.SetFault(TableFault::kDown);
  Node node(1, m_random, m_service, m_now);
  Run(node, minutes(1));
  m_service.SetFault(TableFault::kNone);
  EXPECT_FALSE(node.directory.rows_found());
  node.directory.OnTableAvailable(m_now);
  Run(node, milliseconds(200));
  EXPECT_TRUE(node.directory.rows_found());
}

TEST_F(MemberDirectoryTest, IgnoresRowsThatItCannotRead) {
  TableTransact transact;
  transact.puts = {{"member/zz", "127.0.0.1:1 1"},
                   {MemberRowKey(NodeId(5)), "nonsense"},
                   {MemberRowKey(NodeId(6)), "127.0.0.1:9006 4 later-field"}};
  m_service.table().Apply(transact);
  Node node(1, m_random, m_service, m_now);
  Run(node, seconds(1));
  EXPECT_EQ(node.directory.TakeFound(node.table),
            std::vector<Endpoint>{AddressOf(6)});
}

}  // namespace
}  // namespace bulrushmount
