// Part of `policy_report.h`: the goals, and the printing of the tables.

#include "benchmarks/policy_report.h"

#include <fmt/format.h>

namespace bulrushmount {

namespace {

constexpr std::string_view kOurs = "ours";
constexpr std::string_view kReferencePolicy = "clairvoyant";

struct Goal {
  std::string_view name;
  std::string_view scenario;
  // The goal compares with the result of this policy in this scenario.
  std::string_view base_scenario;
  std::string_view base_policy;
  bool is_goodput = false;
  // Minimum of the ratio for goodput, maximum for latency.
  double threshold = 0;
};

constexpr Goal kGoals[] = {
    {"p99 at 70 % / clairvoyant", "steady-70", "steady-70", kReferencePolicy,
     false, 1.25},
    {"p99 at 90 % / clairvoyant", "steady-90", "steady-90", kReferencePolicy,
     false, 1.5},
    {"goodput 110 % / 100 %", "steady-110", "steady-100", kOurs, true, 0.95},
    {"p99 beside flood / alone", "beside-flood", "alone-40", kOurs, false, 1.2},
    {"p99 one 10x slow / without", "slow-10x", "steady-60", kOurs, false, 1.5},
    {"p99 lying slow / honest slow", "lying-slow", "slow-10x", kOurs, false,
     1.0},
    {"p99 probes 0 / 50", "probes-0", "probes-50", kOurs, false, 1.3},
    {"p99 probes 0 / 50, one slow", "probes-0-slow", "probes-50-slow", kOurs,
     false, 1.3},
    {"p99 probes 0 / 50, failing", "probes-0-failing", "probes-50-failing",
     kOurs, false, 1.3},
};

double Percent(std::size_t part, const Result& result) {
  return 100.0 * static_cast<double>(part) / static_cast<double>(result.calls);
}

double Measure(const Result& result, bool is_goodput) {
  return is_goodput ? static_cast<double>(result.good_ms.size())
                    : Quantile(result, 0.99);
}

}  // namespace

const Result* ScenarioResult::Find(std::string_view policy) const {
  for (const PolicyRow& row : rows) {
    if (row.policy == policy)
      return &row.result;
  }
  return nullptr;
}

const Result* ShapeResult::Find(std::string_view scenario,
                                std::string_view policy) const {
  for (const ScenarioResult& outcome : scenarios) {
    if (outcome.scenario == scenario)
      return outcome.Find(policy);
  }
  return nullptr;
}

double Quantile(const Result& result, double fraction) {
  if (result.good_ms.empty())
    return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(result.good_ms.size() - 1));
  return result.good_ms[index];
}

void PrintHead() {
  fmt::print(
      "{:<16}{:<18}{:<15}{:>6}{:>7}{:>8}{:>8}{:>8}{:>8}{:>9}{:>7}{:>7}{:>8}"
      "{:>8}\n",
      "shape", "scenario", "policy", "p99x", "goodx", "good%", "p50ms", "p99ms",
      "p999ms", "refused%", "late%", "error%", "retry%", "flood");
}

void PrintRows(const std::string& shape, const ScenarioResult& outcome) {
  const Result& reference = outcome.rows.back().result;
  for (const PolicyRow& row : outcome.rows) {
    const Result& result = row.result;
    fmt::print(
        "{:<16}{:<18}{:<15}{:>6.2f}{:>7.2f}{:>8.2f}{:>8.1f}{:>8.1f}{:>8.1f}"
        "{:>9.2f}{:>7.2f}{:>7.2f}{:>8.2f}{:>8}\n",
        shape, outcome.scenario, row.policy,
        Quantile(result, 0.99) / Quantile(reference, 0.99),
        static_cast<double>(result.good_ms.size()) /
            static_cast<double>(reference.good_ms.size()),
        Percent(result.good_ms.size(), result), Quantile(result, 0.5),
        Quantile(result, 0.99), Quantile(result, 0.999),
        Percent(result.refused, result), Percent(result.late, result),
        Percent(result.errors, result), Percent(result.retries, result),
        result.flood_good);
  }
}

void PrintGoals(const ShapeResult& results) {
  for (const Goal& goal : kGoals) {
    const Result* reached = results.Find(goal.scenario, kOurs);
    const Result* base = results.Find(goal.base_scenario, goal.base_policy);
    if (!reached || !base)
      continue;
    const double ratio =
        Measure(*reached, goal.is_goodput) / Measure(*base, goal.is_goodput);
    const bool is_met =
        goal.is_goodput ? ratio >= goal.threshold : ratio <= goal.threshold;
    fmt::print("goal {:<16}{:<30}{:>6.2f}  {} {:.2f}  {}\n", results.shape,
               goal.name, ratio, goal.is_goodput ? ">=" : "<=", goal.threshold,
               is_met ? "met" : "MISSED");
  }
}

}  // namespace bulrushmount
