// Measures the workspace limits and the quarantine: how far a workspace exceeds
// its limit when limiter homes fail, the fleet is partitioned or nodes are
// suspended; how fast entries get credit in a cold start; the datagrams sent;
// the processor time of one admission; and the number of targets that one
// poison request crashes. All but the processor time is in virtual time.
//   limits_benchmark [SEED [SECTION]]
// SECTION is admitted, cold, datagrams, processor or crashes; default: all.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "unit_tests/core/limits/limiter_fleet.h"
#include "unit_tests/core/limits/limiter_load.h"
#include "unit_tests/core/quarantine/quarantine_fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::uint64_t kDefaultSeed = 20261202;
const WorkspaceName kWorkspace{"paramo"};

// --- Over-admission ---------------------------------------------------------

constexpr double kOfferedLoadFactor = 3;
constexpr Duration kDetectionTime = 2s;
constexpr double kWindowSeconds = 10;
// A fleet of 1,100 nodes needs several rounds of 20 s to distribute a rate.
constexpr Duration kWarmUp = 120s;

// A fault and its recovery. Each function gets the limiter home of the
// workspace.
struct Scenario {
  std::string name;
  std::function<void(LimiterFleet&, std::size_t home)> inject;
  // Called `kDetectionTime` after the fault.
  std::function<void(LimiterFleet&, std::size_t home)> on_detected;
  // Called `kWindowSeconds` after the detection.
  std::function<void(LimiterFleet&, std::size_t home)> recover;
};

void DoNothing(LimiterFleet&, std::size_t) {}

void PublishMembers(LimiterFleet& fleet, std::size_t) {
  fleet.PublishMembers(true);
}

void PartitionInHalves(LimiterFleet& fleet, std::size_t) {
  for (std::size_t index = 0; index < fleet.size() / 2; ++index)
    fleet.network().SetSide(index, 1);
}

void HealPartition(LimiterFleet& fleet, std::size_t) {
  for (std::size_t index = 0; index < fleet.size(); ++index)
    fleet.network().SetSide(index, 0);
  fleet.PublishMembers();
}

void KillHome(LimiterFleet& fleet, std::size_t home) {
  fleet.Kill(home);
}

void FreezeHome(LimiterFleet& fleet, std::size_t home) {
  fleet.network().SetFrozen(home, true);
}

void UnfreezeHome(LimiterFleet& fleet, std::size_t home) {
  fleet.network().SetFrozen(home, false);
  fleet.PublishMembers();
}

void FreezeThird(LimiterFleet& fleet, std::size_t) {
  for (std::size_t index = 0; index < fleet.size(); index += 3)
    fleet.network().SetFrozen(index, true);
}

void UnfreezeAll(LimiterFleet& fleet, std::size_t) {
  for (std::size_t index = 0; index < fleet.size(); ++index)
    fleet.network().SetFrozen(index, false);
  fleet.PublishMembers();
}

std::vector<Scenario> Scenarios() {
  return {
      {"steady", DoNothing, DoNothing, DoNothing},
      {"home killed", KillHome, PublishMembers, DoNothing},
      {"home stopped 12 s", FreezeHome, PublishMembers, UnfreezeHome},
      {"third stopped 12 s", FreezeThird, PublishMembers, UnfreezeAll},
      {"cut in half 12 s", PartitionInHalves, PublishMembers, HealPartition}};
}

void MeasureOverAdmission(std::size_t nodes,
                          const Scenario& scenario,
                          std::uint64_t seed) {
  const WorkspaceLimits limits{1000, 500, 100000};
  LimiterFleet fleet(nodes, seed);
  fleet.SetLimits(kWorkspace, limits);
  LimiterLoad load(fleet, kWorkspace, limits);
  const double rate_per_node =
      kOfferedLoadFactor * limits.units_per_second / static_cast<double>(nodes);
  const std::vector<double> rates(nodes, rate_per_node);
  load.Run(kWarmUp, rates);
  load.Reset();

  const std::size_t home = fleet.HomeOf(kWorkspace);
  double worst_window = 0;
  const auto run = [&](double seconds) {
    const double before = load.admitted();
    load.Run(FromSeconds(seconds), rates);
    worst_window = std::max(worst_window, (load.admitted() - before) / seconds);
  };
  scenario.inject(fleet, home);
  run(ToSeconds(kDetectionTime));
  scenario.on_detected(fleet, home);
  run(kWindowSeconds);
  scenario.recover(fleet, home);
  run(kWindowSeconds);
  const double total_seconds = ToSeconds(kDetectionTime) + 2 * kWindowSeconds;
  fmt::print("{:6} {:20} {:8.3f} {:12.3f} {:12.3f}\n", nodes, scenario.name,
             load.admitted() / total_seconds / limits.units_per_second,
             worst_window / limits.units_per_second,
             load.meter().worst() / limits.burst_units);
}

// All entries get the first calls of an idle workspace in the same millisecond.
void MeasureSimultaneousFirstCalls(std::size_t nodes, std::uint64_t seed) {
  const WorkspaceLimits limits{1000, 500, 100000};
  LimiterFleet fleet(nodes, seed);
  fleet.SetLimits(kWorkspace, limits);
  fleet.Advance(60s);
  LimiterLoad load(fleet, kWorkspace, limits);
  for (std::size_t index = 0; index < nodes; ++index) {
    for (int call = 0; call < 20; ++call)
      load.Call(index);
  }
  fmt::print("{:6} {:20} {:8} {:12} {:12.3f}\n", nodes, "first calls at once",
             "-", "-", load.meter().worst() / limits.burst_units);
}

// --- Cold start -------------------------------------------------------------

constexpr double kSufficientFraction = 0.95;
constexpr Duration kColdWindow = 4s;
constexpr Duration kColdRunTime = 120s;

// An overloaded workspace starts to call at `entries` of the nodes at the same
// time. Prints the time after which every window of the run admits at least
// kSufficientFraction of the limit, and the highest rate of bytes that a node
// sent in a window.
void MeasureColdStart(std::size_t nodes,
                      std::size_t entries,
                      std::uint64_t seed) {
  const WorkspaceLimits limits{1000, 500, 100000};
  LimiterFleet fleet(nodes, seed);
  fleet.SetLimits(kWorkspace, limits);
  fleet.Advance(60s);
  LimiterLoad load(fleet, kWorkspace, limits);
  std::vector<double> rates(nodes, 0);
  // The rates differ because with equal rates all entries would call in the
  // same milliseconds, which makes the count of a window unreliable.
  SeededRandomSource random(seed);
  const double mean = kOfferedLoadFactor * limits.units_per_second /
                      static_cast<double>(entries);
  for (std::size_t index = 0; index < entries; ++index)
    rates[index] = mean * (0.5 + random.Fraction());
  double reached_s = 0;
  double max_bytes_per_s = 0;
  double admitted = 0;
  const double window = ToSeconds(kColdWindow);
  for (double at = 0; at < ToSeconds(kColdRunTime); at += window) {
    const double before = load.admitted();
    fleet.network().ResetSentCounters();
    load.Run(kColdWindow, rates);
    const double fraction =
        (load.admitted() - before) / window / limits.units_per_second;
    if (fraction < kSufficientFraction)
      reached_s = at + window;
    const auto bytes =
        static_cast<double>(fleet.network().MaxWireBytesPerNode());
    max_bytes_per_s = std::max(max_bytes_per_s, bytes / window);
    admitted = load.admitted() / (at + window) / limits.units_per_second;
  }
  fmt::print("{:6} {:8} {:12.0f} {:12.3f} {:12.0f} {:12.3f}\n", nodes, entries,
             reached_s, admitted, max_bytes_per_s,
             load.meter().worst() / limits.burst_units);
}

// --- Datagrams --------------------------------------------------------------

constexpr double kCallsPerSecond = 200;
constexpr double kSettleSeconds = 45;
// Twice the longest interval between two requests of an entry.
constexpr double kMeasuredSeconds = 87;

void MeasureDatagrams(std::size_t nodes,
                      std::size_t active,
                      std::size_t workspaces,
                      std::uint64_t seed) {
  const WorkspaceLimits limits{10000, 5000, 10000};
  LimiterFleet fleet(nodes, seed);
  std::vector<WorkspaceName> names;
  for (std::size_t index = 0; index < workspaces; ++index) {
    names.emplace_back("workspace" + std::to_string(index));
    fleet.SetLimits(names.back(), limits);
  }
  SeededRandomSource random(seed);
  double pending_calls = 0;
  const auto run = [&](double seconds) {
    const TimePoint end = fleet.now() + FromSeconds(seconds);
    while (fleet.now() < end) {
      fleet.Advance(LimiterFleet::kStep);
      pending_calls += kCallsPerSecond * ToSeconds(LimiterFleet::kStep);
      for (; pending_calls >= 1; pending_calls -= 1) {
        for (std::size_t node = 0; node < nodes; ++node) {
          // Each entry gets calls of its own subset of the workspaces.
          const std::size_t pick =
              (node * 7 + random.Index(active)) % workspaces;
          const Reason reason =
              fleet.node(node).TryAdmit(fleet.now(), names[pick], 1);
          if (reason == Reason::kNone)
            fleet.node(node).OnCallEnded(fleet.now(), names[pick]);
        }
      }
    }
  };
  run(kSettleSeconds);
  fleet.network().ResetSentCounters();
  run(kMeasuredSeconds);
  const double node_seconds = static_cast<double>(nodes) * kMeasuredSeconds;
  fmt::print("{:6} {:8} {:10} {:12.2f} {:12.0f} {:12.0f}\n", nodes, active,
             workspaces,
             static_cast<double>(fleet.network().sent()) / node_seconds,
             static_cast<double>(fleet.network().WireBytes()) / node_seconds,
             static_cast<double>(fleet.network().MaxWireBytesPerNode()) /
                 kMeasuredSeconds);
}

// All entries call for the same workspace, so its home answers all of them.
void MeasureBusyHome(std::size_t nodes, std::uint64_t seed) {
  MeasureDatagrams(nodes, 1, 1, seed);
}

// --- Processor --------------------------------------------------------------

constexpr int kWorkspaces = 200;
constexpr int kCalls = 4'000'000;

void MeasureAdmission(bool is_refused) {
  LimiterFleet fleet(1, 1);
  std::vector<WorkspaceName> names;
  for (int index = 0; index < kWorkspaces; ++index) {
    names.emplace_back("workspace" + std::to_string(index));
    fleet.SetLimits(names.back(), is_refused ? WorkspaceLimits{1, 1, 100}
                                             : WorkspaceLimits{1e9, 1e9, 100});
  }
  fleet.Advance(10s);
  int admitted = 0;
  const auto begin = Now();
  for (int call = 0; call < kCalls; ++call) {
    const WorkspaceName& name =
        names[static_cast<std::size_t>(call) % kWorkspaces];
    if (fleet.node(0).TryAdmit(fleet.now(), name, 1) == Reason::kNone) {
      ++admitted;
      fleet.node(0).OnCallEnded(fleet.now(), name);
    }
  }
  fmt::print("{:10} {:8.1f} ns a call ({} admitted of {})\n",
             is_refused ? "refused" : "admitted",
             ToSeconds(Now() - begin) * 1e9 / kCalls, admitted, kCalls);
}

// --- Crashes ----------------------------------------------------------------

constexpr std::size_t kNodes = 20;
constexpr int kCallsPerCaller = 50;
constexpr std::uint64_t kRuns = 100;

// `concurrent_callers` callers send the same poison request in the same
// millisecond through different entries, and each repeats it every 100 ms
// through a random entry. Returns the number of crashed targets.
std::size_t CountCrashes(std::size_t concurrent_callers,
                         Duration gossip,
                         std::uint64_t seed) {
  const Fingerprint poison{seed};
  QuarantineFleet fleet(kNodes, seed);
  fleet.AddPoison(poison);
  fleet.SetGossip(gossip, 0);
  fleet.Advance(7s);
  SeededRandomSource random(seed);
  for (int repeat = 0; repeat < kCallsPerCaller; ++repeat) {
    const std::size_t first = random.Index(kNodes);
    const std::size_t target = random.Index(kNodes);
    for (std::size_t caller = 0; caller < concurrent_callers; ++caller) {
      fleet.Call((first + caller) % kNodes, (target + caller) % kNodes, poison,
                 10ms);
    }
    fleet.Advance(100ms);
  }
  return fleet.TargetsCrashed();
}

void MeasureCrashes(std::size_t concurrent_callers,
                    Duration gossip,
                    std::uint64_t seed) {
  std::size_t sum = 0;
  std::size_t max_crashes = 0;
  for (std::uint64_t run = 0; run < kRuns; ++run) {
    const std::size_t crashes =
        CountCrashes(concurrent_callers, gossip, seed + run);
    sum += crashes;
    max_crashes = std::max(max_crashes, crashes);
  }
  fmt::print("{:8} {:10.0f} {:10.2f} {:10} {:12}\n", concurrent_callers,
             ToMilliseconds(gossip), static_cast<double>(sum) / kRuns,
             max_crashes, concurrent_callers * kCallsPerCaller);
}

void RunAdmitted(std::uint64_t seed) {
  fmt::print("\nAdmitted over the limit (three limits offered)\n");
  fmt::print("{:>6} {:20} {:>8} {:>12} {:>12}\n", "nodes", "fault", "22 s",
             "worst window", "worst/burst");
  for (const std::size_t nodes : {10, 100, 1100}) {
    for (const Scenario& scenario : Scenarios())
      MeasureOverAdmission(nodes, scenario, seed);
    MeasureSimultaneousFirstCalls(nodes, seed);
  }
}

void RunCold(std::uint64_t seed) {
  fmt::print("\nCold start (three limits offered, 120 s)\n");
  fmt::print("{:>6} {:>8} {:>12} {:>12} {:>12} {:>12}\n", "nodes", "entries",
             "95 % after s", "of the limit", "most bytes/s", "worst/burst");
  MeasureColdStart(10, 10, seed);
  MeasureColdStart(100, 100, seed);
  MeasureColdStart(1100, 1, seed);
  MeasureColdStart(1100, 100, seed);
  MeasureColdStart(1100, 1100, seed);
}

void RunDatagrams(std::uint64_t seed) {
  fmt::print("\nDatagrams sent (200 calls a second and node)\n");
  fmt::print("{:>6} {:>8} {:>10} {:>12} {:>12} {:>12}\n", "nodes", "active",
             "workspaces", "a node/s", "bytes/s", "most bytes/s");
  MeasureBusyHome(11, seed);
  MeasureBusyHome(100, seed);
  MeasureBusyHome(1100, seed);
  MeasureDatagrams(11, 10, 20, seed);
  MeasureDatagrams(100, 50, 500, seed);
  // Each workspace calls so rarely that it becomes idle between its calls.
  MeasureDatagrams(100, 2000, 2000, seed);
  MeasureDatagrams(1100, 50, 2000, seed);
  MeasureDatagrams(1100, 200, 2000, seed);
}

void RunProcessor(std::uint64_t) {
  fmt::print("\nOne admission\n");
  MeasureAdmission(false);
  MeasureAdmission(true);
}

void RunCrashes(std::uint64_t seed) {
  fmt::print("\nTargets crashed by one poison request, 50 sends a caller\n");
  fmt::print("{:>8} {:>10} {:>10} {:>10} {:>12}\n", "racing", "gossip ms",
             "mean", "most", "unprotected");
  for (const Duration gossip : {Duration(500ms), Duration(2s)}) {
    for (const std::size_t concurrent_callers : {1, 2, 4, 8})
      MeasureCrashes(concurrent_callers, gossip, seed);
  }
}

// Runs one section; all if `section` is empty.
void RunAll(std::uint64_t seed, std::string_view section) {
  fmt::print("seed {}\n", seed);
  const std::vector<std::pair<std::string_view, void (*)(std::uint64_t)>> all =
      {{"admitted", RunAdmitted},
       {"cold", RunCold},
       {"datagrams", RunDatagrams},
       {"processor", RunProcessor},
       {"crashes", RunCrashes}};
  for (const auto& [name, run] : all) {
    if (section.empty() || section == name)
      run(seed);
  }
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  const std::uint64_t seed =
      argc > 1 ? std::stoull(argv[1]) : bulrushmount::kDefaultSeed;
  bulrushmount::RunAll(seed, argc > 2 ? argv[2] : "");
  return 0;
}
