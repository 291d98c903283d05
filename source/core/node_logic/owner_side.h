// A node as the owner of the target beside it: every request that the target
// runs passes here, so its load is known exactly.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/admission/admission.h"
#include "core/admission/start_estimate.h"
#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"
#include "core/node_logic/node_settings.h"
#include "core/pipeline/dispatcher.h"
#include "core/quarantine/quarantine.h"
#include "core/reporting/traffic_metrics.h"
#include "core/routes/route_table.h"
#include "core/target_state/target_gate.h"
#include "core/target_state/target_life.h"
#include "core/target_state/target_speed.h"

namespace bulrushmount::detail {

class OwnerSide {
 public:
  // All but the settings must outlive the object.
  OwnerSide(const NodeSettings& settings,
            const RouteTable& routes,
            Quarantine& quarantine,
            TrafficMetrics& metrics,
            ActionSink& actions);

  void OnWorkArrived(TimePoint now, const WorkArrived& event);
  void OnWorkCancelled(TimePoint now, WorkId work);
  void OnConnectFailed(TimePoint now, WorkId work);
  void OnAnswerBegun(TimePoint now, const TargetAnswerBegun& event);
  void OnAnswerEnded(TimePoint now, WorkId work);
  void OnExchangeFailed(TimePoint now, const TargetExchangeFailed& event);

  void OnAnnounced(TimePoint now, const TargetAnnounced& event);
  void OnWithdrawn(TimePoint now);
  void OnProbe(TimePoint now, bool is_healthy);

  // Of targets that are known by an id.
  void OnHeartbeat(TimePoint now, const TargetHeartbeat& heartbeat);
  void OnDeparted(TimePoint now, const InstanceId& instance);
  // False if the probe is none of this object's.
  bool OnOwnProbe(TimePoint now, const ProbeAnswered& event);
  bool OnOwnProbe(TimePoint now, const ProbeFailed& event);
  // The routing document has changed.
  void OnRoutesChanged(TimePoint now);

  // The node leaves: no new work, what runs goes on.
  void Drain(TimePoint now);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  const TargetLife& life() const { return m_life; }
  LoadReport load() const;
  // Where the target is reached; empty before its first announcement.
  const std::optional<Endpoint>& endpoint() const { return m_endpoint; }
  std::size_t size() const { return m_works.size(); }

 private:
  struct Work {
    WorkHead head;
    TimePoint arrived_at;
    TimePoint deadline;
    // From here on the target may run it.
    bool is_handed_over = false;
    bool is_answer_begun = false;
    int status = 0;
    // As of the hand-over, for the log.
    TimePoint started_at;
    std::uint32_t running_at_start = 0;
    double slowdown_at_start = 1.0;
    Duration slowdown_age{};
  };

  // An exchange that broke off, while nobody knows whether the target is down.
  struct BrokenWork {
    TimePoint at;
    AdmittedWork work;
  };

  // Whether the target's word of its speed is too old to start a request by.
  bool NeedsFigures(TimePoint now, const Work& work) const;
  void HoldForFigures(TimePoint now, WorkId id);
  void ReleaseHeld(TimePoint now);
  // The target's speed is as known as it gets.
  void Admit(TimePoint now, WorkId id);
  StartConditions Conditions() const;
  void TakeFigures(TimePoint now, const TargetFigures& figures);
  void AskSpeedWhileHolding(TimePoint now);
  TimePoint NextSpeedCheck() const;
  void RefuseAdmitted(TimePoint now, WorkId id, Reason reason);
  // kNone while the target takes work of that service.
  Reason WhyClosed(const WorkHead& head) const;

  Reason ReasonToRefuse(TimePoint now, const WorkHead& head);
  void Apply(TimePoint now, const AdmissionOutput& output);
  void Refuse(WorkId work, Reason reason);
  void EndNotRun(TimePoint now, WorkId work, Reason reason, RealResult result);
  // Takes the work out; empty if it has ended already.
  std::optional<Work> Take(WorkId work);
  // Also empty if the target has not been handed the work. A work that is still
  // queued must stay: the admission will start it.
  std::optional<Work> TakeHandedOver(WorkId work);
  // Into the log and the metrics.
  void LogWork(TimePoint now, const Work& work, std::string_view result) const;
  void NoteCrash(TimePoint now);
  bool IsAnyHandedOver() const;
  void CheckAnnouncements(TimePoint now);
  void Obey(TimePoint now, GateVerdict verdict);
  void OpenGate(TimePoint now);
  void ProbeCandidate(TimePoint now);
  // The id of the probe; empty if the target's health path is unknown.
  std::optional<ProbeId> SendOwnProbe(TimePoint now,
                                      const TargetHeartbeat& target,
                                      Duration patience);
  // How the quarantine knows it.
  static AdmittedWork AdmittedAs(const Work& work);
  void NoteBroken(TimePoint now, const Work& work);
  void AccuseBroken(TimePoint now);
  void SyncAdmission(TimePoint now);

  const RouteTable& m_routes;
  Quarantine& m_quarantine;
  TrafficMetrics& m_metrics;
  ActionSink& m_actions;
  TargetLife m_life;
  Admission m_admission;
  std::unordered_map<WorkId, Work> m_works;
  std::optional<Endpoint> m_endpoint;
  std::optional<TargetAnnounced> m_announced;
  bool m_is_leaving = false;
  // Whether the admission was told to take work.
  bool m_is_admitting = false;

  TargetSpeed m_speed;
  // Works that wait for the answer to m_speed_probe; empty without one.
  std::vector<WorkId> m_held;
  std::optional<ProbeId> m_speed_probe;
  TargetGate m_gate;
  // Stands in for the incarnation of targets that are known by an id: one more
  // at each that the gate lets in.
  std::uint64_t m_ordinal = 0;
  InstanceId m_instance;
  std::uint64_t m_last_probe = 0;
  bool m_needs_crash = false;
  // Exchanges that broke off of late; newest last.
  std::deque<BrokenWork> m_broken;

  // When the announcement last came, and how long after the one before it.
  // Targets that announce themselves once only have no period.
  TimePoint m_last_announcement;
  std::optional<Duration> m_announcement_period;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_SIDE_H_
