// Tests of `core/routing/decaying_retry_budget.h` against a naive
// implementation that keeps every attempt.

#include "core/routing/decaying_retry_budget.h"

#include <chrono>
#include <cmath>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const ServiceName kDesk("desk");

double SumOfDecayed(const std::vector<TimePoint>& times, TimePoint now) {
  double sum = 0;
  for (const TimePoint time : times)
    sum += std::exp(-ToSeconds(now - time));
  return sum;
}

RC_GTEST_PROP(RetryBudgetTest, MatchesTheNaiveVersion, ()) {
  const DecayingRetryBudgetSettings settings{.fraction = 0.2, .floor = 2.05};
  DecayingRetryBudget budget(settings);
  std::vector<TimePoint> first_attempts;
  std::vector<TimePoint> retries;
  int reserved = 0;
  TimePoint now{1s};
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
    const int choice = *rc::gen::inRange(0, 10);
    if (choice < 4) {
      budget.OnFirstAttempt(now, kDesk);
      first_attempts.push_back(now);
    } else if (choice < 8) {
      const double allowed =
          settings.floor +
          settings.fraction * SumOfDecayed(first_attempts, now);
      const double after = SumOfDecayed(retries, now) + reserved + 1;
      // Discards cases in which rounding errors could decide.
      RC_PRE(std::abs(after - allowed) > 1e-9);
      RC_ASSERT(budget.Reserve(now, kDesk) == (after <= allowed));
      reserved += after <= allowed;
    } else if (reserved > 0 && choice < 9) {
      budget.Spend(now, kDesk);
      retries.push_back(now);
      --reserved;
    } else if (reserved > 0) {
      budget.Return(kDesk);
      --reserved;
    }
  }
}

// Guards against unbounded retries that multiply an overload: each of 1,000
// attempts a second is refused, and each refusal requests a retry.
TEST(RetryBudgetTest, RetriesStayAFractionOfFirstAttempts) {
  DecayingRetryBudget budget(DecayingRetryBudgetSettings{.fraction = 0.2});
  int granted = 0;
  TimePoint now{1s};
  for (int attempt = 0; attempt < 10'000; ++attempt) {
    now += 1ms;
    budget.OnFirstAttempt(now, kDesk);
    if (!budget.Reserve(now, kDesk))
      continue;
    budget.Spend(now, kDesk);
    ++granted;
  }
  EXPECT_GT(granted, 1'900);
  EXPECT_LT(granted, 2'100);
}

TEST(RetryBudgetTest, ServicesHaveSeparateBudgets) {
  DecayingRetryBudget budget(DecayingRetryBudgetSettings{.floor = 1});
  EXPECT_TRUE(budget.Reserve(TimePoint{1s}, kDesk));
  EXPECT_FALSE(budget.Reserve(TimePoint{1s}, kDesk));
  EXPECT_TRUE(budget.Reserve(TimePoint{1s}, ServiceName("vault")));
}

}  // namespace
}  // namespace bulrushmount
