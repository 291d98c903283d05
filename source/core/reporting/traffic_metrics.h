// Counters and latency histograms for the metrics page: calls at an entry and
// works at an owner.

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

  // `latency` is the time from the call's arrival to the first byte of its
  // answer, or to its end.
  void OnCall(const ServiceName& service,
              Outcome outcome,
              Reason reason,
              Duration latency);
  // `attempts` is the number of owners that the call was sent to.
  void OnAttempts(std::uint32_t attempts);

  // `result` is the result in the log line of the work.
  void OnWork(std::string_view result, Duration wait);
  void OnRun(Duration run);

  // A report about this node's target was rejected.
  void OnReportRefused(std::string_view reason);

 private:
  MetricsRegistry& m_registry;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_TRAFFIC_METRICS_H_
