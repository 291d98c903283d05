// Tests of `core/routing/fleet_retry_budget.h`: in every window all nodes
// together stay within the budget.

#include "core/routing/fleet_retry_budget.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("vault");
constexpr std::size_t kNodes = 11;

FleetRetryBudgetSettings ExampleSettings() {
  return {.window = seconds(10), .fraction = 0.2, .slack = 56};
}

// Returns whether the retry was made.
bool Retry(FleetRetryBudget& budget, TimePoint now) {
  if (!budget.Reserve(now, kService))
    return false;
  budget.Spend(now, kService);
  return true;
}

// Guards against more retries than the operator allows, when a service sheds
// half of its requests for eight seconds after a burst and eleven nodes retry.
// Causes: each node takes the whole fixed part for itself, or decaying counts
// include the burst for longer than the window.
TEST(FleetRetryBudgetTest, ElevenNodesStayWithinOneFleetBudget) {
  const FleetRetryBudgetSettings settings = ExampleSettings();
  std::vector<FleetRetryBudget> nodes(kNodes, FleetRetryBudget(settings));
  for (FleetRetryBudget& node : nodes)
    node.SetFleetSize(kNodes);
  struct Event {
    TimePoint at;
    bool is_retry;
  };
  std::vector<Event> events;
  for (int step = 0; step < 30'000; step += 20) {
    const TimePoint now = TimePoint() + milliseconds(step);
    const int calls = step < 8'000 ? 3 : 1;
    for (FleetRetryBudget& node : nodes) {
      for (int call = 0; call < calls; ++call) {
        node.OnFirstAttempt(now, kService);
        events.push_back({now, false});
        if (step > 7'000 && Retry(node, now))
          events.push_back({now, true});
      }
    }
  }
  const auto count = [&](TimePoint to, bool is_retry) {
    return static_cast<double>(
        std::count_if(events.begin(), events.end(), [&](const Event& event) {
          return event.is_retry == is_retry && event.at <= to &&
                 event.at > to - settings.window;
        }));
  };
  for (int end = 10'000; end < 30'000; end += 500) {
    const TimePoint to = TimePoint() + milliseconds(end);
    const double retries = count(to, true);
    // Retries within a window may belong to first attempts before it.
    const double first =
        std::max({count(to, false), count(to - settings.window / 2, false),
                  count(to - settings.window, false)});
    EXPECT_LE(retries, settings.fraction * first + settings.slack) << end;
    EXPECT_GT(retries, 0) << end;
  }
}

// Guards against each half of a partitioned fleet spending the whole fixed
// part: a node's share must not grow when members are lost.
TEST(FleetRetryBudgetTest, LossOfMembersDoesNotRaiseTheShareOfANode) {
  FleetRetryBudget budget(ExampleSettings());
  budget.SetFleetSize(70);
  budget.SetFleetSize(1);
  int retries = 0;
  while (Retry(budget, TimePoint()))
    ++retries;
  EXPECT_LE(retries, 1);
}

TEST(FleetRetryBudgetTest, RetriesOutsideTheWindowDoNotCount) {
  FleetRetryBudget budget(ExampleSettings());
  while (Retry(budget, TimePoint())) {
  }
  EXPECT_FALSE(Retry(budget, TimePoint() + seconds(9)));
  EXPECT_TRUE(Retry(budget, TimePoint() + seconds(11)));
}

RC_GTEST_PROP(FleetRetryBudgetProperty, StaysWithinTheBudgetOfTheWindow, ()) {
  const FleetRetryBudgetSettings settings = ExampleSettings();
  FleetRetryBudget budget(settings);
  std::vector<TimePoint> first;
  std::vector<TimePoint> retries;
  TimePoint now;
  const int steps = *rc::gen::inRange(1, 400);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 200));
    if (*rc::gen::inRange(0, 3) > 0) {
      budget.OnFirstAttempt(now, kService);
      first.push_back(now);
    } else if (Retry(budget, now)) {
      retries.push_back(now);
    }
    const auto count = [&](const std::vector<TimePoint>& times) {
      double in_window = 0;
      for (const TimePoint at : times)
        in_window += at > now - settings.window ? 1 : 0;
      return in_window;
    };
    // The window is one step longer than configured, so up to ten more first
    // attempts are counted at these rates.
    RC_ASSERT(count(retries) <=
              settings.fraction * (count(first) + 10) + settings.slack);
  }
}

}  // namespace
}  // namespace bulrushmount
