// Tests of `core/admission/admission_queue.h` against a naive implementation
// that computes every start tag from scratch.

#include "core/admission/admission_queue.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

// Textbook start-time fair queueing; nothing is kept sorted.
class NaiveQueue {
 public:
  void Push(const QueuedWork& work) { m_works.push_back(work); }

  std::optional<WorkId> PopFirst(bool may_be_suspect) {
    for (const QueuedWork& work : InOrder()) {
      if (work.is_suspect && !may_be_suspect)
        continue;
      const double tag = TagOf(work);
      m_virtual_time = std::max(m_virtual_time, tag);
      m_finish[work.workspace.value()] = tag + work.weight / work.share;
      Remove(work.work);
      return work.work;
    }
    return std::nullopt;
  }

  std::vector<QueuedWork> InOrder() const {
    std::vector<QueuedWork> works = m_works;
    std::sort(
        works.begin(), works.end(),
        [this](const QueuedWork& left, const QueuedWork& right) {
          return std::tuple(TagOf(left), left.deadline, left.work.value()) <
                 std::tuple(TagOf(right), right.deadline, right.work.value());
        });
    return works;
  }

  bool Remove(WorkId id) {
    return std::erase_if(m_works, [id](const QueuedWork& work) {
             return work.work == id;
           }) > 0;
  }

 private:
  double TagOf(const QueuedWork& work) const {
    const auto finish = m_finish.find(work.workspace.value());
    double tag = m_virtual_time;
    if (finish != m_finish.end())
      tag = std::max(tag, finish->second);
    for (const QueuedWork& other : m_works) {
      const bool is_before = std::tie(other.deadline, other.work.value()) <
                             std::tie(work.deadline, work.work.value());
      if (other.workspace == work.workspace && is_before)
        tag += other.weight / other.share;
    }
    return tag;
  }

  std::vector<QueuedWork> m_works;
  std::map<std::string, double> m_finish;
  double m_virtual_time = 0;
};

// Weights and shares are powers of two, so that sums are exact in any order.
QueuedWork GenerateWork(std::uint64_t id) {
  const int workspace = *rc::gen::inRange(0, 4);
  QueuedWork work;
  work.work = WorkId(id);
  work.workspace =
      WorkspaceName(std::string(1, static_cast<char>('a' + workspace)));
  work.weight = 1 << *rc::gen::inRange(0, 4);
  work.share = 1 << workspace;
  work.deadline = TimePoint(Duration(*rc::gen::inRange(0, 50)));
  work.is_suspect = *rc::gen::inRange(0, 8) == 0;
  return work;
}

void ExpectSameOrder(const AdmissionQueue& queue, const NaiveQueue& naive) {
  std::vector<WorkId> actual;
  for (const QueuedWork& work : queue.works())
    actual.push_back(work.work);
  std::vector<WorkId> expected;
  for (const QueuedWork& work : naive.InOrder())
    expected.push_back(work.work);
  RC_ASSERT(actual == expected);
}

RC_GTEST_PROP(AdmissionQueueTest, MatchesTheNaiveOrder, ()) {
  AdmissionQueue queue;
  NaiveQueue naive;
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int choice = *rc::gen::inRange(0, 10);
    if (choice < 5) {
      const QueuedWork work = GenerateWork(static_cast<std::uint64_t>(step));
      queue.Push(work);
      naive.Push(work);
    } else if (choice < 8) {
      const bool may_be_suspect = *rc::gen::arbitrary<bool>();
      const auto popped = queue.PopFirst(may_be_suspect);
      const auto expected = naive.PopFirst(may_be_suspect);
      RC_ASSERT(popped.has_value() == expected.has_value());
      if (popped)
        RC_ASSERT(popped->work == *expected);
    } else if (choice < 9) {
      const WorkId id(static_cast<std::uint64_t>(*rc::gen::inRange(0, 80)));
      RC_ASSERT(queue.Remove(id) == naive.Remove(id));
    } else if (!queue.works().empty()) {
      RC_ASSERT(naive.InOrder().back().work == queue.PopLast().work);
      naive.Remove(naive.InOrder().back().work);
    }
    ExpectSameOrder(queue, naive);
  }
}

struct ShareCase {
  double heavy_share;
  double heavy_weight;
  // Starts of the heavy workspace for each start of the light one.
  double expected_ratio;
};

class AdmissionQueueShareTest : public testing::TestWithParam<ShareCase> {};

TEST_P(AdmissionQueueShareTest, BackloggedWorkspacesStartByShare) {
  AdmissionQueue queue;
  std::map<std::string, int> started;
  std::uint64_t next_id = 0;
  const auto push = [&](const std::string& workspace, double weight,
                        double share) {
    QueuedWork work;
    work.work = WorkId(++next_id);
    work.workspace = WorkspaceName(workspace);
    work.weight = weight;
    work.share = share;
    work.deadline = TimePoint(Duration(next_id));
    queue.Push(work);
  };
  const ShareCase& row = GetParam();
  for (int backlog = 0; backlog < 4; ++backlog) {
    push("heavy", row.heavy_weight, row.heavy_share);
    push("light", 1, 1);
  }
  for (int step = 0; step < 1000; ++step) {
    const auto work = queue.PopFirst(true);
    ++started[work->workspace.value()];
    push(work->workspace.value(), work->weight, work->share);
  }
  const double ratio = static_cast<double>(started["heavy"]) / started["light"];
  EXPECT_NEAR(ratio, row.expected_ratio, 0.05 * row.expected_ratio);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AdmissionQueueShareTest,
                         testing::Values(ShareCase{1, 1, 1},
                                         ShareCase{3, 1, 3},
                                         ShareCase{1, 4, 0.25},
                                         ShareCase{8, 2, 4}));

// Guards against a workspace whose use of idle capacity is forgotten, so that
// others have no precedence in the next contention, and against one that pays
// for it for long.
TEST(AdmissionQueueOrderTest, UseOfIdleCapacityCountsForTwoWorks) {
  AdmissionQueue queue;
  std::uint64_t last_id = 0;
  const auto push = [&](const std::string& workspace, int due) {
    QueuedWork work;
    work.work = WorkId(++last_id);
    work.workspace = WorkspaceName(workspace);
    work.deadline = TimePoint(Duration(due));
    queue.Push(work);
  };
  queue.SetContended(false);
  push("earlier", 1);
  queue.PopFirst(true);
  push("patient", 1000);
  for (int started = 0; started < 10; ++started) {
    push("busy", 10 + started);
    EXPECT_EQ(queue.PopFirst(true)->workspace, WorkspaceName("busy"));
  }
  push("busy", 100);
  for (const int due : {500, 501, 502})
    push("earlier", due);
  queue.SetContended(true);
  std::vector<std::string> order;
  for (const QueuedWork& work : queue.works())
    order.push_back(work.workspace.value());
  EXPECT_EQ(order, (std::vector<std::string>{"patient", "earlier", "earlier",
                                             "busy", "earlier"}));
}

}  // namespace
}  // namespace bulrushmount
