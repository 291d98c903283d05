// Compares routing and admission policies on simulated targets with the same
// calls: those of this project ("ours"), baselines, random routing without
// admission ("naive"), and a clairvoyant queue as reference.
// Usage: policy_benchmark [--plots FOLDER] [seed [shape [scenario]]]
// Prints the ratios, then the goals. Shape and scenario select all names that
// contain them.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "benchmarks/policy_plots.h"
#include "benchmarks/policy_report.h"
#include "benchmarks/policy_run.h"
#include "core/admission/adaptive_limit.h"
#include "core/routing/least_reported_picker.h"
#include "core/routing/power_of_choices_picker.h"
#include "core/routing/random_picker.h"
#include "core/routing/round_robin_picker.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;

const std::vector<Shape> kShapes = {
    {"studio-desk", 7, 11, 12, 4, 500us},
    {"studio-vault", 4, 11, 12, 4, 500us},
    {"archive-readers", 7, 10, 9, 3, 1500us},
    {"archive-vault", 3, 10, 9, 3, 1500us},
};

const std::vector<Scenario> kScenarios = {
    {"steady-50", 0.5, Fault::kNone},
    {"steady-60", 0.6, Fault::kNone},
    {"steady-70", 0.7, Fault::kNone},
    {"steady-90", 0.9, Fault::kNone},
    {"steady-100", 1.0, Fault::kNone},
    {"steady-110", 1.1, Fault::kNone},
    {"bursts", 0.5, Fault::kBursts},
    {"slow-10x", 0.6, Fault::kSlow},
    {"noisy", 0.6, Fault::kNoisy},
    {"noisy-all", 0.45, Fault::kAllNoisy},
    {"failing-fast", 0.5, Fault::kFailing},
    {"cold-start", 0.6, Fault::kCold},
    {"drain", 0.6, Fault::kDrain},
    {.name = "bursts-5ms", .load = 0.5, .fault = Fault::kBursts, .burst = 5ms},
    {.name = "bursts-20ms",
     .load = 0.5,
     .fault = Fault::kBursts,
     .burst = 20ms},
    {.name = "bursts-50ms",
     .load = 0.5,
     .fault = Fault::kBursts,
     .burst = 50ms},
    // A workspace within its limit, alone and together with one over its limit.
    {.name = "alone-40", .load = 0.4},
    {.name = "beside-flood", .load = 0.4, .flood = 1.0, .flood_limit = 0.3},
    {.name = "lying-slow",
     .load = 0.6,
     .fault = Fault::kSlow,
     .is_reporting_idle = true},
    {.name = "probes-0", .load = 0.7, .probes = 0},
    {.name = "probes-50", .load = 0.7, .probes = 50},
    {.name = "probes-0-slow", .load = 0.6, .fault = Fault::kSlow, .probes = 0},
    {.name = "probes-50-slow",
     .load = 0.6,
     .fault = Fault::kSlow,
     .probes = 50},
    {.name = "probes-0-failing",
     .load = 0.5,
     .fault = Fault::kFailing,
     .probes = 0},
    {.name = "probes-50-failing",
     .load = 0.5,
     .fault = Fault::kFailing,
     .probes = 50},
};

std::unique_ptr<Admission> MakeAdmission() {
  return std::make_unique<Admission>(
      AdmissionSettings{},
      std::make_unique<AdaptiveLimit>(AdaptiveLimitSettings{}));
}

std::unique_ptr<Admission> MakeFixedAdmission() {
  return std::make_unique<Admission>(AdmissionSettings{},
                                     std::make_unique<FixedLimit>());
}

template <typename Picker>
std::unique_ptr<TargetPicker> MakeBaseline(const Shape& shape) {
  return std::make_unique<Picker>();
}

std::unique_ptr<TargetPicker> MakePowerOfChoices(const Shape& shape) {
  PowerOfChoicesSettings settings;
  settings.round_trip[1] = 2 * shape.zone_delay;
  return std::make_unique<PowerOfChoicesPicker>(settings);
}

const std::vector<Policy> kPolicies = {
    {"ours", MakePowerOfChoices, MakeAdmission},
    {"ours-fixed", MakePowerOfChoices, MakeFixedAdmission},
    {"random", MakeBaseline<RandomPicker>, MakeAdmission},
    {"round-robin", MakeBaseline<RoundRobinPicker>, MakeAdmission},
    {"least-reported", MakeBaseline<LeastReportedPicker>, MakeAdmission},
    {.name = "naive",
     .make_picker = MakeBaseline<RandomPicker>,
     .make_admission = nullptr,
     .has_limits = false},
};

// For load endpoints that falsely report idle: policies that trust them.
const std::vector<Policy> kTrustingPolicies = {
    {.name = "ours-misled",
     .make_picker = MakePowerOfChoices,
     .make_admission = MakeAdmission,
     .trusts_endpoints = true},
    {.name = "least-polled",
     .make_picker = MakeBaseline<LeastReportedPicker>,
     .make_admission = MakeAdmission,
     .trusts_endpoints = true},
};

// For two workspaces: only the fair queue, without the workspace limits.
const std::vector<Policy> kPoliciesWithoutLimits = {
    {.name = "ours-no-limits",
     .make_picker = MakePowerOfChoices,
     .make_admission = MakeAdmission,
     .has_limits = false},
};

bool HasBaselinesOnly(const Scenario& scenario) {
  return !scenario.is_reporting_idle && scenario.flood == 0;
}

std::vector<Policy> PoliciesFor(const Scenario& scenario) {
  std::vector<Policy> policies = kPolicies;
  if (HasBaselinesOnly(scenario))
    return policies;
  const auto& extras =
      scenario.is_reporting_idle ? kTrustingPolicies : kPoliciesWithoutLimits;
  policies.insert(policies.end(), extras.begin(), extras.end());
  return policies;
}

ScenarioResult RunScenario(const Shape& shape,
                           const Scenario& scenario,
                           std::uint64_t seed) {
  const std::vector<Arrival> arrivals = MakeArrivals(shape, scenario, seed);
  ScenarioResult outcome{.scenario = scenario.name, .rows = {}};
  for (const Policy& policy : PoliciesFor(scenario)) {
    PolicyRun run(shape, scenario, policy, arrivals, seed);
    outcome.rows.push_back({policy.name, run.Run()});
  }
  outcome.rows.push_back(
      {"clairvoyant", RunClairvoyant(shape, scenario.fault, arrivals)});
  for (PolicyRow& row : outcome.rows)
    std::sort(row.result.good_ms.begin(), row.result.good_ms.end());
  return outcome;
}

bool Matches(const std::vector<std::string>& arguments,
             std::size_t index,
             const std::string& name) {
  return arguments.size() <= index ||
         name.find(arguments[index]) != std::string::npos;
}

int Main(std::vector<std::string> arguments) {
  std::optional<std::string> plots;
  if (arguments.size() >= 2 && arguments[0] == "--plots") {
    plots = arguments[1];
    arguments.erase(arguments.begin(), arguments.begin() + 2);
  }
  const std::uint64_t seed =
      arguments.empty() ? 1 : std::strtoull(arguments[0].c_str(), nullptr, 10);
  fmt::print("seed {}\n", seed);
  for (const Shape& shape : kShapes) {
    if (!Matches(arguments, 1, shape.name))
      continue;
    ShapeResult results{.shape = shape.name, .scenarios = {}};
    PrintHead();
    for (const Scenario& scenario : kScenarios) {
      if (!Matches(arguments, 2, scenario.name))
        continue;
      results.scenarios.push_back(RunScenario(shape, scenario, seed));
      PrintRows(shape.name, results.scenarios.back());
    }
    PrintGoals(results);
    if (plots)
      WritePlots(*plots, results);
  }
  return 0;
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  return bulrushmount::Main({argv + 1, argv + argc});
}
