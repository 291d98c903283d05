// Draws the results of the policy benchmark as SVG bar charts.

#ifndef BULRUSHMOUNT_BENCHMARKS_POLICY_PLOTS_H_
#define BULRUSHMOUNT_BENCHMARKS_POLICY_PLOTS_H_

#include <string>

#include "benchmarks/policy_report.h"

namespace bulrushmount {

// Writes p99-SHAPE.svg and goodput-SHAPE.svg into `folder`, which must exist.
// Omits scenarios that were not run.
void WritePlots(const std::string& folder, const ShapeResult& results);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_PLOTS_H_
