// The owner role of a node: it admits, queues and hands over all requests of
// the local target, so its load is known exactly.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/admission/admission.h"
#include "core/admission/cold_start_limiter.h"
#include "core/admission/start_estimate.h"
#include "core/admission/start_gate.h"
#include "core/admission/start_rate_limiter.h"
#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/evacuation/evacuation_table.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/announcement_watch.h"
#include "core/node_logic/events.h"
#include "core/node_logic/failed_exchanges.h"
#include "core/node_logic/node_settings.h"
#include "core/node_logic/owned_work.h"
#include "core/node_logic/target_health_checker.h"
#include "core/node_logic/work_time_limits.h"
#include "core/pipeline/dispatcher.h"
#include "core/quarantine/quarantine.h"
#include "core/reporting/traffic_metrics.h"
#include "core/routes/route_table.h"
#include "core/target_state/refused_reports.h"
#include "core/target_state/target_gate.h"
#include "core/target_state/target_lifecycle.h"
#include "core/target_state/target_speed.h"

namespace bulrushmount::detail {

class OwnerSide {
 public:
  // All arguments except the settings must outlive the object.
  OwnerSide(const NodeSettings& settings,
            const RouteTable& routes,
            const EvacuationTable& evacuations,
            Quarantine& quarantine,
            TrafficMetrics& metrics,
            ActionSink& actions,
            TimePoint now);

  void OnWorkArrived(TimePoint now, const WorkArrived& event);
  void OnWorkCancelled(TimePoint now, WorkId work);
  void OnConnectFailed(TimePoint now, WorkId work);
  void OnAnswerBegun(TimePoint now, const TargetAnswerBegun& event);
  void OnAnswerEnded(TimePoint now, WorkId work);
  void OnExchangeFailed(TimePoint now, const TargetExchangeFailed& event);

  void OnAnnounced(TimePoint now, const TargetAnnounced& event);
  void OnWithdrawn(TimePoint now);
  void OnProbe(TimePoint now, bool is_healthy);

  // For targets with an id.
  void OnHeartbeat(TimePoint now, const TargetHeartbeat& heartbeat);
  void OnDeparted(TimePoint now, const TargetDeparted& event);
  void OnReportRefused(TimePoint now, const TargetReportRefused& event);
  // False if the probe was not sent by this object.
  bool OnOwnProbe(TimePoint now, const ProbeAnswered& event);
  bool OnOwnProbe(TimePoint now, const ProbeFailed& event);
  // The routing document has changed.
  void OnRoutesChanged(TimePoint now);

  // The set of evacuated availability zones has changed or has become known.
  void OnEvacuationsChanged(TimePoint now);

  // The node leaves: no new requests are accepted, running ones continue.
  void Drain(TimePoint now);

  // This process did not run for `length` until `now`.
  void OnPaused(TimePoint now, Duration length);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  bool is_leaving() const { return m_is_leaving; }
  const TargetLifecycle& life() const { return m_life; }
  LoadReport LoadAt(TimePoint now) const;
  // The current process of the target; 0 before its first announcement.
  TargetProcess process() const { return m_process; }
  // The last notice of that process.
  TargetNotice notice() const {
    return {m_start_rate.rate(), m_is_target_leaving};
  }
  // Endpoint of the target; empty before its first announcement.
  const std::optional<Endpoint>& endpoint() const { return m_endpoint; }
  // Requests in progress, also those whose failure is not reported yet.
  std::size_t size() const {
    return m_works.size() + m_failed_exchanges.waiting();
  }

 private:
  // Whether the last load sample of the target is too old to start a request.
  bool NeedsLoadSample(TimePoint now, const OwnedWork& work) const;
  void HoldForLoadSample(TimePoint now, WorkId id);
  void ReleaseHeld(TimePoint now);
  // Admits a work once the load sample is current or cannot be obtained.
  void Admit(TimePoint now, WorkId id);
  Rank RankOf(const WorkHead& head) const {
    return m_has_ranks ? head.priority : 0;
  }
  // Requests without a workspace are calls of targets if others have one: only
  // targets may call without a key.
  bool IsNested(TimePoint now, const WorkHead& head) const;
  StartConditions Conditions(TimePoint now) const;
  // Limit of requests that the target may run concurrently.
  std::uint32_t LimitAt(TimePoint now) const;
  // Start conditions for a request of this class.
  StartConditions ConditionsOf(TimePoint now,
                               const WorkClass& work_class) const;
  // The target has another process, which has not stated anything yet.
  void SetProcess(TimePoint now, TargetProcess process);
  void ApplyNotice(TimePoint now,
                   const OwnedWork& work,
                   const TargetAnswerBegun& answer);
  void ApplyProbedNotice(TimePoint now, const ProbeAnswered& event);
  // Applies a rate limit that the target has named to the entry of `head`, if
  // it has named none to this process of the owner yet.
  void ApplyRelayedRateLimit(TimePoint now, const WorkHead& head);
  // `source` is where the limit was stated, for the log.
  void SetRateLimit(TimePoint now,
                    const std::optional<double>& rate_limit,
                    std::string_view source);
  void OnLeavingAnnounced(TimePoint now, std::string_view source);
  void ApplyColdReport(TimePoint now, const ProbeAnswered& event);
  void VerifyWarmState(TimePoint now);
  void ApplyLoadSample(TimePoint now, const TargetLoadSample& sample);
  void CheckSpeedWhileHolding(TimePoint now);
  TimePoint NextSpeedCheck() const;
  void RefuseAdmitted(TimePoint now, WorkId id, Reason reason);
  // Why requests of this service are refused; kNone if they are accepted.
  Reason ClosedReason(const WorkHead& head) const;
  // The same, independent of the service.
  Reason ClosedReason() const;

  Reason RefusalReason(TimePoint now, const WorkHead& head);
  void Apply(TimePoint now, const AdmissionOutput& output);
  void Refuse(TimePoint now, WorkId work, Reason reason);
  void EndNotRun(TimePoint now,
                 WorkId work,
                 Reason reason,
                 RequestResult result);
  void EndOverdue(TimePoint now);
  // Removes and returns the work; empty if it has already ended.
  std::optional<OwnedWork> Take(WorkId work);
  // Like Take, but empty if the work was not handed over: a queued work must
  // stay, since the admission will start it.
  std::optional<OwnedWork> TakeHandedOver(WorkId work);
  // Writes the end of a work to the log and the metrics.
  void RecordEnd(TimePoint now,
                 const OwnedWork& work,
                 std::string_view result) const;
  void RecordCrash(TimePoint now);
  bool IsAnyHandedOver() const;
  void CheckAnnouncements(TimePoint now);
  void ApplyVerdict(TimePoint now, GateAction verdict);
  void OpenGate(TimePoint now);
  // Finds out whether the target's process has ended, if entries wait for it.
  void CheckProcess(TimePoint now);
  void OnProcessChecked(TimePoint now, bool is_refused);
  // `evidence` is for the log.
  void OnCrashConfirmed(TimePoint now, std::string_view evidence);
  // Reports the failures up to `failed_until` to the entries.
  void FailWaiting(TimePoint now, Reason reason, TimePoint failed_until);
  void ReportCrashSuspects(TimePoint now, std::string_view evidence);
  void SyncAdmission(TimePoint now);
  void SyncColdRate();

  const RouteTable& m_routes;
  const EvacuationTable& m_evacuations;
  const AvailabilityZone m_zone;
  Quarantine& m_quarantine;
  TrafficMetrics& m_metrics;
  ActionSink& m_actions;
  TargetLifecycle m_life;
  ColdStartLimiter m_cold_starts;
  StartRateLimiter m_start_rate;
  CombinedStartGate m_start_gate{m_cold_starts, m_start_rate};
  Admission m_admission;
  std::unordered_map<WorkId, OwnedWork> m_works;
  WorkTimeLimits m_time_limits;
  std::optional<Endpoint> m_endpoint;
  std::optional<TargetAnnounced> m_announced;
  RefusedReports m_refused_reports;
  bool m_is_leaving = false;
  // Whether the admission currently accepts requests.
  bool m_is_admitting = false;

  TargetSpeed m_speed;
  TargetHealthChecker m_health_checker;
  TargetGate m_gate;
  // Used as the incarnation of targets with an id: incremented at each new
  // process that the gate admits.
  std::uint64_t m_replacement_count = 0;
  InstanceId m_instance;
  std::optional<ProcessStart> m_process_started;
  // The address of this node, which tells targets without an id apart.
  const std::string m_stream_ip;
  TargetProcess m_process;
  // Whether m_process has stated to this node which rate it accepts.
  bool m_is_rate_limit_stated = false;
  // Final: m_process gets no new requests.
  bool m_is_target_leaving = false;
  // Whether the priorities of routes are applied.
  bool m_has_ranks = true;
  // When a request of a workspace last arrived.
  std::optional<TimePoint> m_workspace_seen_at;
  bool m_needs_crash = false;
  FailedExchanges m_failed_exchanges;

  AnnouncementWatch m_announcements;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_
