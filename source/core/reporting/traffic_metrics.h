// Counters and latency histograms of the calls at an entry and of the works at
// an owner, for the metrics page.

#ifndef BULRUSHMOUNT_CORE_REPORTING_TRAFFIC_METRICS_H_
#define BULRUSHMOUNT_CORE_REPORTING_TRAFFIC_METRICS_H_

#include <string_view>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/reporting/metrics_page.h"

namespace bulrushmount {

class TrafficMetrics {
 public:
  // `registry` must outlive the object.
  explicit TrafficMetrics(MetricsRegistry& registry) : m_registry(registry) {}

  // `latency`: from arrival to the first byte of the answer, or to the end.
  void OnCall(const ServiceName& service,
              Outcome outcome,
              Reason reason,
              Duration latency);
  // Targets that were asked in vain before the one that took the call.
  void OnAttempts(std::uint32_t attempts);

  // `result`: what the log line of the work says.
  void OnWork(std::string_view result, Duration wait);
  void OnRun(Duration run);

  // What somebody said of the target beside this node was not taken.
  void OnReportRefused(std::string_view reason);

 private:
  MetricsRegistry& m_registry;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_TRAFFIC_METRICS_H_
