// Tests of `member_table.h`: which report replaces which, the indexes, and a
// comparison with a naive reference model that keeps the greatest report of
// each member.

#include "core/membership/member_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using enum MemberState;

Member MakeMember(std::uint64_t id,
                  std::uint64_t incarnation,
                  MemberState state) {
  Member member;
  member.id = NodeId(id);
  member.incarnation = Incarnation(incarnation);
  member.state = state;
  member.target = TargetSummary{ServiceName(id % 2 == 0 ? "desk" : "vault"),
                                Incarnation(1), 12, true, false};
  return member;
}

struct PrecedenceCase {
  std::uint64_t news_incarnation;
  MemberState news_state;
  std::uint64_t known_incarnation;
  MemberState known_state;
  bool is_news;
};

class PrecedenceTest : public testing::TestWithParam<PrecedenceCase> {};

TEST_P(PrecedenceTest, NewsReplacesOlderNewsOnly) {
  const PrecedenceCase& param = GetParam();
  EXPECT_EQ(Supersedes(Incarnation(param.news_incarnation), param.news_state,
                       Incarnation(param.known_incarnation), param.known_state),
            param.is_news);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PrecedenceTest,
    testing::Values(PrecedenceCase{1, kAlive, 1, kAlive, false},
                    PrecedenceCase{1, kSuspect, 1, kAlive, true},
                    PrecedenceCase{1, kAlive, 1, kSuspect, false},
                    PrecedenceCase{2, kAlive, 1, kSuspect, true},
                    PrecedenceCase{1, kLeft, 1, kSuspect, true},
                    PrecedenceCase{1, kSuspect, 1, kLeft, false},
                    PrecedenceCase{1, kDead, 1, kLeft, true},
                    PrecedenceCase{1, kLeft, 1, kDead, false},
                    PrecedenceCase{2, kAlive, 1, kDead, true},
                    PrecedenceCase{1, kDead, 2, kAlive, false},
                    PrecedenceCase{2, kSuspect, 1, kDead, true},
                    PrecedenceCase{1, kDead, 1, kDead, false}));

TEST(MemberTableTest, TombstoneOfUnknownMemberIsIgnored) {
  MemberTable table;
  EXPECT_FALSE(table.Apply(TimePoint(), MakeMember(1, 1, kDead)));
  EXPECT_FALSE(table.ApplyState(TimePoint(), NodeId(1), Incarnation(1), kLeft));
  EXPECT_EQ(table.size(), 0U);
}

// Guards against selecting a target that has left its service. A member changes
// its record (incarnation 2) and is suspected; the suspicion of incarnation 2
// arrives before the record. If the old record were marked with the new
// incarnation, the new record would be ignored.
TEST(MemberTableTest, SuspicionAheadOfItsRecordIsIgnored) {
  MemberTable table;
  table.Apply(TimePoint(), MakeMember(2, 1, kAlive));
  EXPECT_FALSE(
      table.ApplyState(TimePoint(), NodeId(2), Incarnation(2), kSuspect));
  Member changed = MakeMember(2, 2, kAlive);
  changed.target.reset();
  EXPECT_TRUE(table.Apply(TimePoint(), changed));
  EXPECT_TRUE(table.LiveOf(ServiceName("desk")).empty());
}

TEST(MemberTableTest, RevisionsRiseWithoutOtherNews) {
  MemberTable table;
  Member member = MakeMember(2, 1, kAlive);
  member.revision = Revision(5);
  table.Apply(TimePoint(), member);
  table.RaiseRevision(NodeId(2), Revision(4));
  EXPECT_EQ(table.Find(NodeId(2))->revision, Revision(5));
  member.revision = Revision(3);
  member.incarnation = Incarnation(2);
  table.Apply(TimePoint(), member);
  EXPECT_EQ(table.Find(NodeId(2))->revision, Revision(5));
}

TEST(MemberTableTest, ForgetsTombstonesByAgeAndKeepsItsOwn) {
  MemberTable table;
  const TimePoint start;
  for (const std::uint64_t id : {1, 2, 3, 4}) {
    table.Apply(start, MakeMember(id, 1, kAlive));
  }
  table.ApplyState(start, NodeId(1), Incarnation(1), kLeft);
  table.ApplyState(start, NodeId(2), Incarnation(1), kLeft);
  table.ApplyState(start, NodeId(3), Incarnation(1), kDead);
  const auto minute = std::chrono::minutes(1);
  table.ForgetTombstones(start + minute, minute, 2 * minute, NodeId(1));
  EXPECT_NE(table.Find(NodeId(1)), nullptr);
  EXPECT_EQ(table.Find(NodeId(2)), nullptr);
  EXPECT_NE(table.Find(NodeId(3)), nullptr);
  EXPECT_EQ(table.Dead().size(), 1U);
}

// Naive reference model: the greatest (incarnation, state) of each member.
class NaiveTable {
 public:
  void Apply(const Member& news, bool has_record) {
    const auto found = m_news.find(news.id);
    if (found == m_news.end()) {
      if (has_record && IsLive(news.state)) {
        m_news[news.id] = {news.incarnation, news.state};
      }
      return;
    }
    const bool lacks_record = !has_record && IsLive(news.state) &&
                              news.incarnation != found->second.first;
    if (!lacks_record) {
      found->second =
          std::max(found->second, std::pair(news.incarnation, news.state));
    }
  }

  std::set<NodeId> Live() const {
    std::set<NodeId> live;
    for (const auto& [id, news] : m_news) {
      if (IsLive(news.second)) {
        live.insert(id);
      }
    }
    return live;
  }

 private:
  std::map<NodeId, std::pair<Incarnation, MemberState>> m_news;
};

std::set<NodeId> IdsOf(const MemberTable::Pointers& members) {
  std::set<NodeId> ids;
  for (const Member* member : members) {
    ids.insert(member->id);
  }
  return ids;
}

RC_GTEST_PROP(MemberTableDifferentialTest, AgreesWithNaiveTable, ()) {
  MemberTable table;
  MemberTable rebuilt;
  NaiveTable naive;
  const int steps = *rc::gen::inRange(0, 60);
  for (int i = 0; i < steps; ++i) {
    const Member news =
        MakeMember(*rc::gen::inRange(1, 6), *rc::gen::inRange(1, 4),
                   *rc::gen::element(kAlive, kSuspect, kLeft, kDead));
    const bool has_record = *rc::gen::arbitrary<bool>();
    naive.Apply(news, has_record);
    if (has_record) {
      table.Apply(TimePoint(), news);
    } else {
      table.ApplyState(TimePoint(), news.id, news.incarnation, news.state);
    }
    const std::set<NodeId> live = IdsOf(table.Live());
    RC_ASSERT(live == naive.Live());
    std::set<NodeId> by_service = IdsOf(table.LiveOf(ServiceName("desk")));
    by_service.merge(IdsOf(table.LiveOf(ServiceName("vault"))));
    RC_ASSERT(by_service == live);
  }
  for (const Member* member : table.Live()) {
    rebuilt.Apply(TimePoint(), *member);
  }
  RC_ASSERT(table.digests() == rebuilt.digests());
}

}  // namespace
}  // namespace bulrushmount
