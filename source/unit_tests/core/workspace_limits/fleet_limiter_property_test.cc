// The bound of `core/workspace_limits/fleet_limiter.h` under random sequences
// of faults, and recovery after them.

#include <cstddef>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/workspace_limits/unit_fleet.h"
#include "unit_tests/core/workspace_limits/unit_load.h"
#include "unit_tests/core/workspace_limits/window_meter.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::size_t kNodes = 12;
const WorkspaceLimitsSettings kSettings{5s, 0.1, 20};
const WorkspaceName kWorkspace{"kartli"};

enum class Fault : std::uint8_t {
  kNone,
  kKill,
  kLeave,
  kFreeze,
  kIsolate,
  kSplit,
  kLossy
};

struct Period {
  Fault fault = Fault::kNone;
  std::size_t node = 0;
  // Calls per second over all entries, and at `node` alone.
  double spread = 0;
  double at_node = 0;
  std::int64_t milliseconds = 0;
};

std::ostream& operator<<(std::ostream& out, const Period& period) {
  return out << "{fault " << static_cast<int>(period.fault) << " node "
             << period.node << " ms " << period.milliseconds << " spread "
             << period.spread << " at node " << period.at_node << '}';
}

rc::Gen<Period> AnyPeriod() {
  return rc::gen::build<Period>(
      rc::gen::set(&Period::fault,
                   rc::gen::element(Fault::kNone, Fault::kKill, Fault::kLeave,
                                    Fault::kFreeze, Fault::kIsolate,
                                    Fault::kSplit, Fault::kLossy)),
      rc::gen::set(&Period::node, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Period::spread, rc::gen::element(0.0, 60.0, 900.0)),
      rc::gen::set(&Period::at_node, rc::gen::element(0.0, 40.0, 400.0)),
      rc::gen::set(&Period::milliseconds,
                   rc::gen::inRange<std::int64_t>(100, 9000)));
}

void SetDemand(UnitLoad& load, const Period& period) {
  std::vector<double> rates(kNodes, period.spread / kNodes);
  rates[period.node] += period.at_node;
  load.SetSources({{kWorkspace, rates}});
}

// A node that is isolated in its first tenths of a second, while it knows only
// some of the members, overestimates its part of the limit.
void Restart(UnitFleet& fleet, UnitLoad& load, std::size_t index) {
  fleet.Restart(index);
  load.Run(200ms);
}

// Runs the period, and ends its fault: the next one starts while the fleet has
// not yet recovered.
void RunPeriod(UnitFleet& fleet, UnitLoad& load, const Period& period) {
  SetDemand(load, period);
  const Duration duration = std::chrono::milliseconds(period.milliseconds);
  std::vector<std::size_t> half;
  for (std::size_t index = period.node % 2; index < kNodes; index += 2)
    half.push_back(index);
  switch (period.fault) {
    case Fault::kNone:
      load.Run(duration);
      break;
    case Fault::kKill:
      fleet.Kill(period.node);
      load.Run(duration);
      Restart(fleet, load, period.node);
      break;
    case Fault::kLeave:
      fleet.Leave(period.node);
      load.Run(duration);
      Restart(fleet, load, period.node);
      break;
    case Fault::kFreeze:
      fleet.SetFrozen(period.node, true);
      load.Run(duration);
      fleet.SetFrozen(period.node, false);
      break;
    case Fault::kIsolate:
      fleet.SetSides({period.node}, 1);
      load.Run(duration);
      fleet.SetSides({period.node}, 0);
      break;
    case Fault::kSplit:
      fleet.SetSides(half, 1);
      load.Run(duration);
      fleet.SetSides(half, 0);
      break;
    case Fault::kLossy:
      fleet.network().SetFaults({0.3, 0.3, 1ms, 100ms});
      load.Run(duration);
      fleet.network().SetFaults(NetworkFaults());
      break;
  }
}

// Guards against a workspace that gets more than its limit when faults follow
// each other before the fleet has recovered.
RC_GTEST_PROP(FleetLimiterPropertyTest, KeepsTheBound, ()) {
  const auto rate =
      *rc::gen::element(WorkspaceRate{100, 100}, WorkspaceRate{20, 0},
                        WorkspaceRate{3, 3}, WorkspaceRate{40, 200});
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto periods = *rc::gen::container<std::vector<Period>>(5, AnyPeriod());
  UnitFleet fleet(kNodes, kSettings, seed);
  UnitLoad load(fleet, seed);
  fleet.SetLimits({{kWorkspace, rate}});
  fleet.Advance(35s);
  for (const Period& period : periods)
    RunPeriod(fleet, load, period);
  load.Run(5s);
  RC_ASSERT(load.TallyOf(kWorkspace).meter.worst() <=
            WindowBound(kSettings, rate));
}

// Guards against a workspace that is refused below its limit for ever after
// faults, because a home is never taken over or a share never rises.
RC_GTEST_PROP(FleetLimiterPropertyTest, ServesAllAfterFaults, ()) {
  constexpr WorkspaceRate rate{100, 100};
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto periods = *rc::gen::container<std::vector<Period>>(3, AnyPeriod());
  UnitFleet fleet(kNodes, kSettings, seed);
  UnitLoad load(fleet, seed);
  fleet.SetLimits({{kWorkspace, rate}});
  fleet.Advance(35s);
  for (const Period& period : periods)
    RunPeriod(fleet, load, period);
  load.SetSources({});
  // The slowest member of the model learns of a return after 2 s, and a share
  // rises 3 s later.
  load.Run(12s);
  load.TallyOf(kWorkspace) = UnitLoad::Tally(kSettings.window);
  load.SetSources({{kWorkspace, std::vector<double>(kNodes, 60.0 / kNodes)}});
  load.Run(5s);
  load.SetSources({});
  load.Run(100ms);
  const UnitLoad::Tally& tally = load.TallyOf(kWorkspace);
  RC_ASSERT(tally.calls > 200U);
  RC_ASSERT(tally.admitted == tally.calls);
}

}  // namespace
}  // namespace bulrushmount
