// Part of `traffic_metrics.h`.

#include "core/reporting/traffic_metrics.h"

#include <string>
#include <vector>

namespace bulrushmount {

namespace {

// Upper bounds in seconds, from the time of a hop between nodes to the longest
// usual deadlines.
const std::vector<double>& LatencyBounds() {
  static const std::vector<double> bounds = {0.001, 0.002, 0.005, 0.01, 0.02,
                                             0.05,  0.1,   0.2,   0.5,  1.0,
                                             2.0,   5.0,   10.0};
  return bounds;
}

}  // namespace

void TrafficMetrics::OnCall(const ServiceName& service,
                            Outcome outcome,
                            Reason reason,
                            Duration latency) {
  const std::string outcome_token(ToToken(outcome));
  m_registry
      .GetCounter("bulrushmount_calls_total", "Calls that ended at this entry.",
                  {{"service", service.value()},
                   {"outcome", outcome_token},
                   {"reason", std::string(TraitsOf(reason).token)}})
      .Add();
  m_registry
      .GetHistogram("bulrushmount_call_seconds",
                    "From a call's arrival to the first byte of its answer.",
                    LatencyBounds(),
                    {{"service", service.value()}, {"outcome", outcome_token}})
      .Observe(ToSeconds(latency));
}

void TrafficMetrics::OnAttempts(std::uint32_t attempts) {
  m_registry
      .GetCounter("bulrushmount_attempts_total",
                  "Owners that calls of this entry were sent to.")
      .Add(attempts);
}

void TrafficMetrics::OnWork(std::string_view result, Duration wait) {
  m_registry
      .GetCounter("bulrushmount_works_total",
                  "Requests for the target of this node that ended.",
                  {{"result", std::string(result)}})
      .Add();
  m_registry
      .GetHistogram("bulrushmount_work_wait_seconds",
                    "From a request's arrival at its owner to its hand-over or "
                    "refusal.",
                    LatencyBounds())
      .Observe(ToSeconds(wait));
}

void TrafficMetrics::OnRun(Duration run) {
  m_registry
      .GetHistogram("bulrushmount_work_run_seconds",
                    "From the hand-over of a request to its end.",
                    LatencyBounds())
      .Observe(ToSeconds(run));
}

void TrafficMetrics::OnReportRefused(std::string_view reason) {
  m_registry
      .GetCounter("bulrushmount_refused_reports_total",
                  "Reports of targets that were not taken.",
                  {{"reason", std::string(reason)}})
      .Add();
}

}  // namespace bulrushmount
