// Prints the results of the policy benchmark: a table of ratios, and the goals
// with the values reached.

#ifndef BULRUSHMOUNT_BENCHMARKS_POLICY_REPORT_H_
#define BULRUSHMOUNT_BENCHMARKS_POLICY_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "benchmarks/policy_workload.h"

namespace bulrushmount {

struct PolicyRow {
  std::string policy;
  // `good_ms` is sorted.
  Result result;
};

struct ScenarioResult {
  std::string scenario;
  // The last row is the clairvoyant queue.
  std::vector<PolicyRow> rows;

  // Null if the policy was not run.
  const Result* Find(std::string_view policy) const;
};

struct ShapeResult {
  std::string shape;
  std::vector<ScenarioResult> scenarios;

  // Null if the scenario or the policy was not run.
  const Result* Find(std::string_view scenario, std::string_view policy) const;
};

// Quantile of the latencies of good answers in milliseconds; 0 if there are
// none.
double Quantile(const Result& result, double fraction);

void PrintHead();
void PrintRows(const std::string& shape, const ScenarioResult& outcome);

// Omits goals whose scenarios were not run.
void PrintGoals(const ShapeResult& results);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_REPORT_H_
