// Tests of `core/admission/ranked_queue.h`: against a naive implementation, and
// by a simulation of the load that ranks are made for.

#include "core/admission/ranked_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/admission/admission.h"
#include "core/common/random.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Fair queueing over the ranks, each with a class of nested calls and one of
// new work, without sorted state: of the classes with waiting works, the one
// with the lowest next tag starts its work with the earliest deadline.
class NaiveRanks {
 public:
  void Push(Rank rank, const QueuedWork& work, Duration cost) {
    m_works.push_back({rank, work, ToSeconds(cost)});
  }

  std::optional<WorkId> PopFirst() {
    const Entry* first = nullptr;
    for (const Entry& entry : m_works) {
      if (first == nullptr || IsBefore(entry, *first))
        first = &entry;
    }
    if (first == nullptr)
      return std::nullopt;
    const double tag = TagOf(*first);
    m_virtual_time = std::max(m_virtual_time, tag);
    const double factor =
        std::pow(2.0, first->rank) / (first->work.is_nested ? 2 : 1);
    m_finish[ClassOf(*first)] = tag + first->cost * factor;
    const WorkId id = first->work.work;
    Remove(id);
    return id;
  }

  void Remove(WorkId id) {
    std::erase_if(m_works,
                  [id](const Entry& entry) { return entry.work.work == id; });
  }

 private:
  struct Entry {
    Rank rank = 0;
    QueuedWork work;
    double cost = 0;
  };

  using Class = std::pair<Rank, bool>;

  static Class ClassOf(const Entry& entry) {
    return {entry.rank, !entry.work.is_nested};
  }

  double TagOf(const Entry& entry) const {
    const auto found = m_finish.find(ClassOf(entry));
    return found == m_finish.end() ? m_virtual_time
                                   : std::max(m_virtual_time, found->second);
  }

  bool IsBefore(const Entry& one, const Entry& other) const {
    return std::tuple(TagOf(one), ClassOf(one), one.work.deadline,
                      one.work.work.value()) <
           std::tuple(TagOf(other), ClassOf(other), other.work.deadline,
                      other.work.work.value());
  }

  std::vector<Entry> m_works;
  std::map<Class, double> m_finish;
  double m_virtual_time = 0;
};

RC_GTEST_PROP(RankedQueueTest, MatchesTheNaiveOrder, ()) {
  RankedQueue queue;
  NaiveRanks naive;
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int choice = *rc::gen::inRange(0, 10);
    if (choice < 6) {
      QueuedWork work;
      work.work = WorkId(static_cast<std::uint64_t>(step));
      work.deadline = TimePoint(Duration(*rc::gen::inRange(0, 50)));
      work.is_nested = *rc::gen::arbitrary<bool>();
      const auto rank = static_cast<Rank>(*rc::gen::inRange(0, 4));
      // Powers of two, so that sums are exact in any order.
      const Duration cost = std::chrono::seconds(1 << *rc::gen::inRange(0, 4));
      queue.Push(rank, work, cost);
      naive.Push(rank, work, cost);
    } else if (choice < 9) {
      const auto popped = queue.PopFirst(true);
      const auto expected = naive.PopFirst();
      RC_ASSERT(popped.has_value() == expected.has_value());
      if (popped)
        RC_ASSERT(popped->work == *expected);
    } else {
      const WorkId id(static_cast<std::uint64_t>(*rc::gen::inRange(0, 80)));
      queue.Remove(id);
      naive.Remove(id);
    }
  }
}

TEST(RankedQueueOrderTest, PopLastRemovesTheLastToStart) {
  RankedQueue queue;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    QueuedWork work;
    work.work = WorkId(id);
    queue.Push(id % 2 == 0 ? 0 : 2, work, 10ms);
  }
  EXPECT_EQ(queue.CountUpTo({0}), 3U);
  EXPECT_EQ(queue.CountUpTo({2}), 6U);
  const WorkId last = queue.works().back().work;
  EXPECT_EQ(queue.PopLast().work, last);
  EXPECT_EQ(last, WorkId(5));
  EXPECT_EQ(queue.works().size(), 5U);
}

struct NestedRankCase {
  const char* name;
  Rank rank_of_nested;
  Rank rank_of_new;
  // Part of the time that the new work keeps while both are backlogged.
  double least_share_of_new;
  // Whether a nested call starts before new work that waited before it.
  bool is_nested_first;
};

class NestedRankTest : public ::testing::TestWithParam<NestedRankCase> {};

QueuedWork WorkOf(std::uint64_t id, bool is_nested) {
  QueuedWork work;
  work.work = WorkId(id);
  work.is_nested = is_nested;
  work.deadline = TimePoint(Duration(id));
  return work;
}

// Guards against nested calls that wait behind new work of their own or a less
// urgent rank, and against ranks that nested calls push below their share.
TEST_P(NestedRankTest, NestedCallsGoFirstAndLeaveRanksTheirShare) {
  RankedQueue queue;
  queue.Push(GetParam().rank_of_new, WorkOf(1, false), 10ms);
  queue.Push(GetParam().rank_of_nested, WorkOf(2, true), 10ms);
  EXPECT_EQ(queue.works().front().is_nested, GetParam().is_nested_first);
  std::uint64_t last_id = 2;
  int nested_started = 0;
  constexpr int starts = 1000;
  for (int start = 0; start < starts; ++start) {
    const std::optional<QueuedWork> work = queue.PopFirst(true);
    nested_started += work->is_nested ? 1 : 0;
    const Rank rank =
        work->is_nested ? GetParam().rank_of_nested : GetParam().rank_of_new;
    queue.Push(rank, WorkOf(++last_id, work->is_nested), 10ms);
  }
  EXPECT_GE(starts - nested_started, GetParam().least_share_of_new * starts);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    NestedRankTest,
    ::testing::Values(NestedRankCase{"SameRank", 0, 0, 0.33, true},
                      NestedRankCase{"LessUrgentNewWork", 0, 1, 0.19, true},
                      NestedRankCase{"MoreUrgentNewWork", 1, 0, 0.49, false},
                      NestedRankCase{"FarMoreUrgentNewWork", 2, 0, 0.66,
                                     false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against nested calls whose caller has run out of time while another
// one with more time left was answered.
TEST(NestedOrderTest, CallersWithLessTimeLeftGoFirst) {
  RankedQueue queue;
  QueuedWork patient = WorkOf(1, true);
  patient.deadline = TimePoint(500ms);
  patient.objective = TimePoint(100ms);
  QueuedWork urgent = WorkOf(2, true);
  urgent.deadline = TimePoint(200ms);
  urgent.objective = TimePoint(150ms);
  queue.Push(0, patient, 10ms);
  queue.Push(0, urgent, 10ms);
  EXPECT_EQ(queue.works().front().work, urgent.work);
}

// Counts for a target of nine slots with a third more load than its capacity.
// Short requests take 40 ms, with an objective of 120 ms and a deadline of 400
// ms, of which 60 ms have passed before they arrive. Long ones take 250 ms,
// with an objective of 600 ms and a deadline of 1.5 s.
struct InTimeCounts {
  int short_ones = 0;
  int long_ones = 0;
  int sent_short = 0;
  int sent_long = 0;
};

class Simulation {
 public:
  explicit Simulation(Rank rank_of_long)
      : m_rank_of_long(rank_of_long),
        m_admission(AdmissionSettings{}, std::make_unique<FixedLimit>()) {}

  InTimeCounts Run() {
    m_admission.SetTarget(m_now, 9, 220);
    TimePoint next_short;
    TimePoint next_long;
    for (; m_now < TimePoint() + 30s; m_now += 1ms) {
      for (; m_now >= next_short; next_short += Gap(150)) {
        ++m_result.sent_short;
        Arrive({"short", 0, 40ms, 60ms, 340ms});
      }
      for (; m_now >= next_long; next_long += Gap(24)) {
        ++m_result.sent_long;
        Arrive({"long", m_rank_of_long, 250ms, 600ms, 1500ms});
      }
      EndDueWorks();
      if (m_admission.NextWakeup() && *m_admission.NextWakeup() <= m_now)
        Note(m_admission.OnTimer(m_now));
    }
    return m_result;
  }

 private:
  struct Kind {
    const char* name;
    Rank rank;
    Duration takes;
    Duration objective;
    Duration deadline;
  };

  struct Sent {
    Kind kind;
    TimePoint at;
  };

  Duration Gap(double per_second) {
    return FromSeconds(-std::log1p(-m_random.Fraction()) / per_second);
  }

  void Arrive(const Kind& kind) {
    AdmissionRequest request;
    request.kind = KindName(kind.name);
    request.rank = kind.rank;
    request.time_left = kind.deadline;
    request.objective_left = kind.objective;
    request.is_last_attempt = true;
    const WorkId id(++m_last_work_id);
    m_sent[id] = {kind, m_now};
    Note(m_admission.Arrive(m_now, id, request));
  }

  void Note(const AdmissionOutput& output) {
    for (const WorkId work : output.start)
      m_ends.emplace(m_now + m_sent.at(work).kind.takes, work);
  }

  // A short request is in time until its deadline, a long one until its
  // objective.
  void EndDueWorks() {
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
      const WorkId work = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      const Sent& sent = m_sent.at(work);
      const Duration took = m_now - sent.at;
      if (sent.kind.rank == 0 && sent.kind.takes == 40ms)
        m_result.short_ones += took <= sent.kind.deadline ? 1 : 0;
      else
        m_result.long_ones += took <= sent.kind.objective ? 1 : 0;
      Note(m_admission.OnEnded(m_now, work, WorkEnd::kAnswered));
    }
  }

  Rank m_rank_of_long;
  SeededRandomSource m_random{3};
  Admission m_admission;
  TimePoint m_now;
  InTimeCounts m_result;
  std::uint64_t m_last_work_id = 0;
  std::map<WorkId, Sent> m_sent;
  std::set<std::pair<TimePoint, WorkId>> m_ends;
};

// Guards against failing requests at a load at which a service's downloads are
// all served: lookups from other services queue behind long downloads and run
// out of time, and their callers' requests fail with them, unless the owner's
// queue uses the operator's ranks.
TEST(RankedLoadTest, ShortUrgentRequestsAreServedBeforeLongOnes) {
  const InTimeCounts without = Simulation(0).Run();
  const InTimeCounts with = Simulation(2).Run();
  EXPECT_GE(with.short_ones, 0.95 * with.sent_short)
      << with.short_ones << " of " << with.sent_short << "; without ranks "
      << without.short_ones;
  EXPECT_LT(without.short_ones, 0.85 * without.sent_short);
  // The long ones must not starve.
  EXPECT_GE(with.long_ones, with.sent_long / 4)
      << with.long_ones << " of " << with.sent_long << "; without ranks "
      << without.long_ones;
}

}  // namespace
}  // namespace bulrushmount
