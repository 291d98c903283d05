// Differential test of the workspace limits: whatever datagrams and nodes are
// lost, the fleet exceeds the reference limiter by at most the documented
// bound.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/limits/limiter_fleet.h"
#include "unit_tests/core/limits/limiter_load.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kNodes = 5;
const WorkspaceName kWorkspace{"kartli"};

enum class Fault : std::uint8_t { kNone, kKill, kFreeze, kLossy, kShift };

struct Period {
  Fault fault = Fault::kNone;
  std::size_t node = 0;
  // Calls per second at each entry.
  std::vector<double> rates;
  std::int64_t milliseconds = 0;
};

std::ostream& operator<<(std::ostream& out, const Period& period) {
  out << "{fault " << static_cast<int>(period.fault) << " node " << period.node
      << " ms " << period.milliseconds << " rates";
  for (const double rate : period.rates)
    out << ' ' << rate;
  return out << '}';
}

rc::Gen<Period> AnyPeriod() {
  return rc::gen::build<Period>(
      rc::gen::set(&Period::fault,
                   rc::gen::element(Fault::kNone, Fault::kKill, Fault::kFreeze,
                                    Fault::kLossy, Fault::kShift)),
      rc::gen::set(&Period::node, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Period::rates,
                   rc::gen::container<std::vector<double>>(
                       kNodes, rc::gen::element(0.0, 0.0, 5.0, 40.0, 150.0))),
      rc::gen::set(&Period::milliseconds,
                   rc::gen::inRange<std::int64_t>(100, 6000)));
}

// Nodes detect a death or a freeze after about two seconds, each at a different
// time.
void PropagateMembersSlowly(LimiterFleet& fleet,
                            LimiterLoad& load,
                            const std::vector<double>& rates) {
  load.Run(std::chrono::seconds(2), rates);
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (fleet.IsRunning(index))
      fleet.PublishMembersTo(index, true);
    load.Run(std::chrono::milliseconds(100), rates);
  }
}

void RunPeriod(LimiterFleet& fleet, LimiterLoad& load, const Period& period) {
  NetworkFaults faults;
  if (period.fault == Fault::kLossy)
    faults = {0.3, 0.3, std::chrono::milliseconds(1),
              std::chrono::milliseconds(300)};
  fleet.network().SetFaults(faults);
  const Duration duration = std::chrono::milliseconds(period.milliseconds);
  if (period.fault == Fault::kKill) {
    fleet.Kill(period.node);
    PropagateMembersSlowly(fleet, load, period.rates);
    load.Run(duration, period.rates);
    fleet.Restart(period.node);
    PropagateMembersSlowly(fleet, load, period.rates);
  } else if (period.fault == Fault::kFreeze) {
    fleet.network().SetFrozen(period.node, true);
    PropagateMembersSlowly(fleet, load, period.rates);
    load.Run(duration, period.rates);
    fleet.network().SetFrozen(period.node, false);
    PropagateMembersSlowly(fleet, load, period.rates);
  } else {
    load.Run(duration, period.rates);
  }
}

// The bound of docs/design/limits.md for one fleet without a partition.
double UnitsBound(const WorkspaceLimits& limits) {
  const LimitsSettings settings;
  const double lent = LendingCapacity(settings, limits);
  const double saved =
      limits.units_per_second * ToSeconds(settings.rate_burst_window) +
      2 * kNodes;
  const double allowed = kNodes * AllowedUnits(settings, limits, kNodes);
  return 2 * lent + saved + 2 * allowed;
}

// Guards against a workspace that gets more than its contract allows because
// units or rates are lent twice, or used beyond their term, under any order of
// deaths, restarts, freezes beyond detection, lost, repeated and reordered
// datagrams, and shifts of demand between entries.
RC_GTEST_PROP(LimiterFleetTest, AdmitsAtMostTheStatedBound, ()) {
  const auto limits = *rc::gen::element(
      WorkspaceLimits{100, 50, 40}, WorkspaceLimits{20, 100, 10},
      WorkspaceLimits{300, 10, 300}, WorkspaceLimits{1, 1, 1});
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto periods = *rc::gen::container<std::vector<Period>>(5, AnyPeriod());
  LimiterFleet fleet(kNodes, seed);
  fleet.SetLimits(kWorkspace, limits);
  LimiterLoad load(fleet, kWorkspace, limits);
  for (const Period& period : periods)
    RunPeriod(fleet, load, period);

  RC_ASSERT(load.meter().worst() <= UnitsBound(limits));
  const LimitsSettings settings;
  RC_ASSERT(load.worst_in_flight() <=
            limits.in_flight +
                2 * kNodes * AllowedInFlight(settings, limits, kNodes));
  RC_ASSERT(fleet.network().largest() <= kMaxDatagramPayload);
}

// Guards against a workspace that stays below its limit forever after faults,
// because a loan is never removed from the sums or a debt is never paid off.
// Twenty fault-free seconds must be enough to recover.
RC_GTEST_PROP(LimiterFleetTest, ReturnsToTheFullRateAfterFaults, ()) {
  const WorkspaceLimits limits{100, 50, 100};
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto periods = *rc::gen::container<std::vector<Period>>(3, AnyPeriod());
  LimiterFleet fleet(kNodes, seed);
  fleet.SetLimits(kWorkspace, limits);
  LimiterLoad load(fleet, kWorkspace, limits);
  for (const Period& period : periods)
    RunPeriod(fleet, load, period);

  fleet.network().SetFaults(NetworkFaults());
  fleet.PublishMembers();
  const std::vector<double> rates = {60, 0, 200, 0, 10};
  load.Run(std::chrono::seconds(20), rates);
  load.Reset();
  load.Run(std::chrono::seconds(20), rates);
  RC_ASSERT(load.admitted() >= 0.9 * 20 * 100);
  RC_ASSERT(load.admitted() <= 1.05 * 20 * 100);
}

}  // namespace
}  // namespace bulrushmount
