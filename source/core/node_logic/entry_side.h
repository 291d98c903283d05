// The entry role of a node: runs calls of callers through the filter pipeline
// and the dispatcher.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_ENTRY_SIDE_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_ENTRY_SIDE_H_

#include <cstddef>
#include <memory>
#include <optional>

#include "core/claims/claim_book.h"
#include "core/common/random.h"
#include "core/contracts/confirmation_source.h"
#include "core/contracts/contract_store.h"
#include "core/limits/workspace_limiter.h"
#include "core/node_logic/events.h"
#include "core/node_logic/node_settings.h"
#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/dispatcher.h"
#include "core/pipeline/throttle_filter.h"
#include "core/quarantine/quarantine.h"
#include "core/reporting/call_recorder.h"
#include "core/reporting/traffic_metrics.h"
#include "core/routes/route_table.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"
#include "core/routing/target_notices.h"
#include "core/workspace_limits/fleet_limiter.h"

namespace bulrushmount::detail {

class EntrySide : private CallSink, private RepeatListener {
 public:
  struct Parts {
    const ContractStore& contracts;
    RouteTable& routes;
    const ConfirmationSource& confirmation;
    WorkspaceLimiter& limiter;
    FleetLimiter& fleet_limiter;
    Quarantine& quarantine;
    ClaimBook& claims;
    Router& router;
    TargetNotices& notices;
    CallRecorder& recorder;
    TrafficMetrics& metrics;
    const OwnerDirectory& owners;
    RandomSource& random;
    ActionSink& actions;
    const TimePoint& event_time;
  };

  // The parts must outlive the object.
  EntrySide(const NodeSettings& settings, const Parts& parts);

  void OnCallArrived(TimePoint now, CallArrived event);
  // The local target answered a request with an error.
  void OnTargetError(TimePoint now);
  Dispatcher& dispatcher() { return m_dispatcher; }

  // Refuses new calls from `refuse_from` on, and before that calls whose
  // deadline is after `ends_at`. Calls in progress continue.
  void Drain(TimePoint refuse_from, TimePoint ends_at) {
    m_refuse_from = refuse_from;
    m_ends_at = ends_at;
  }

  // Arrival time of the last call; TimePoint::min() before the first.
  TimePoint last_arrival() const { return m_last_arrival; }

  void SetFleetSize(std::size_t nodes) {
    m_retries->SetFleetSize(nodes);
    m_dispatcher.SetFleetSize(nodes);
  }

  // This process did not run for some time until `now`.
  void OnPaused(TimePoint now) { m_dispatcher.OnPaused(now); }
  void OnTimer(TimePoint now) { m_pipeline.OnTimer(now); }
  TimePoint NextWakeup() const { return m_pipeline.NextWakeup(); }
  std::size_t size() const { return m_pipeline.size(); }

 private:
  void OnCallAccepted(TimePoint now, Call& call) override;
  void OnDeadline(TimePoint now, Call& call) override;
  void OnPermitLost(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

  void OnRepeated(TimePoint now, const Call& call) override;

  void AddFilters(const NodeSettings& settings);
  // Retry-After of a refusal; empty: the default of the reason.
  std::optional<Duration> RetryAfterFor(Reason reason,
                                        const LoadReport& load,
                                        Duration left) const;
  // The same for a call that has ended.
  std::optional<Duration> RetryAfterOf(TimePoint now,
                                       const Call& call,
                                       const CallEnd& end) const;
  // Whether the targets shed the call at random and not for lack of capacity.
  bool IsShedAtRandom(TimePoint now,
                      const Call& call,
                      const CallEnd& end) const;
  void Answer(TimePoint now, const Call& call, const CallEnd& end);
  void Record(TimePoint now, const Call& call, const CallEnd& end);

  Parts m_parts;
  std::unique_ptr<RetryBudget> m_retries;
  CallPipeline m_pipeline;
  // Owned by the pipeline; null if throttling is off.
  ThrottleFilter* m_throttle = nullptr;
  Dispatcher m_dispatcher;
  bool m_has_route_document = false;
  bool m_has_retry_after_policy = true;
  TimePoint m_refuse_from = TimePoint::max();
  TimePoint m_ends_at = TimePoint::max();
  TimePoint m_last_arrival = TimePoint::min();
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_ENTRY_SIDE_H_
