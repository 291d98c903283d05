// Tests of `core/admission/workspace_shares.h`.

#include "core/admission/workspace_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

struct Use {
  double demand = 0;
  double started = 0;
  double share = 1.0;
};

WorkspaceName NameOf(std::size_t index) {
  return WorkspaceName("w" + std::to_string(index));
}

WorkspaceShares SharesOf(TimePoint now, const std::vector<Use>& uses) {
  WorkspaceShares shares;
  for (std::size_t index = 0; index < uses.size(); ++index) {
    shares.OnArrived(now, NameOf(index), uses[index].share,
                     FromSeconds(uses[index].demand));
    shares.OnStarted(now, NameOf(index), FromSeconds(uses[index].started));
  }
  return shares;
}

// The level at which the demand that is served equals the capacity, by
// bisection.
double NaiveLevel(const std::vector<Use>& uses, double capacity) {
  double low = 0;
  double high = 1e6;
  for (int step = 0; step < 200; ++step) {
    const double level = (low + high) / 2;
    double served = 0;
    for (const Use& use : uses)
      served += std::min(use.demand, level * use.share);
    (served < capacity ? low : high) = level;
  }
  return low;
}

RC_GTEST_PROP(WorkspaceSharesTest, MatchesTheNaiveLevel, ()) {
  const TimePoint now{1s};
  const auto count = *rc::gen::inRange<std::size_t>(2, 12);
  std::vector<Use> uses;
  double demand = 0;
  double started = 0;
  for (std::size_t index = 0; index < count; ++index) {
    Use use;
    use.demand = *rc::gen::inRange(1, 100);
    use.started = use.demand * *rc::gen::inRange(0, 100) / 100;
    use.share = 1 << *rc::gen::inRange(0, 3);
    demand += use.demand;
    started += use.started;
    uses.push_back(use);
  }
  const WorkspaceShares shares = SharesOf(now, uses);
  // As in workspace_shares.cc.
  const double capacity = 1.1 * started;
  const double level = NaiveLevel(uses, capacity);
  for (std::size_t index = 0; index < count; ++index) {
    const Use& use = uses[index];
    const double limit = level * use.share;
    // Equal up to rounding: either result is correct.
    if (std::abs(use.started - limit) < 1e-6 || use.demand >= 0.95 * demand)
      continue;
    RC_ASSERT(shares.IsWithinShare(now, NameOf(index), 0ms) ==
              (demand <= capacity || use.started < limit));
  }
}

struct UnderservedCase {
  const char* name;
  std::vector<Use> uses;
  // Of the first workspace.
  bool is_underserved;
};

class UnderservedTest : public ::testing::TestWithParam<UnderservedCase> {};

TEST_P(UnderservedTest, ComparesTheServedFractions) {
  const TimePoint now{1s};
  const WorkspaceShares shares = SharesOf(now, GetParam().uses);
  EXPECT_EQ(shares.IsUnderserved(now, NameOf(0), 100ms),
            GetParam().is_underserved);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    UnderservedTest,
    ::testing::Values(
        UnderservedCase{"ServedAsAll", {{10, 5}, {10, 5}}, false},
        UnderservedCase{"ServedLessOften", {{10, 3}, {90, 45}}, false},
        UnderservedCase{"ServedFarLessOften", {{10, 2}, {90, 45}}, true},
        // One request is no evidence.
        UnderservedCase{"FirstRequest", {{0.1, 0}, {90, 45}}, false},
        UnderservedCase{"NothingServed", {{5, 0}, {90, 45}}, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(WorkspaceSharesTest, ForgetsIdleWorkspaces) {
  TimePoint now{1s};
  WorkspaceShares shares = SharesOf(now, {{10, 0}, {10, 10}});
  EXPECT_TRUE(shares.IsUnderserved(now, NameOf(0), 1ms));
  now += 60s;
  for (std::size_t index = 2; index < 1000; ++index)
    shares.OnArrived(now, NameOf(index), 1.0, 1ms);
  EXPECT_FALSE(shares.IsUnderserved(now, NameOf(0), 1ms));
}

}  // namespace
}  // namespace bulrushmount
