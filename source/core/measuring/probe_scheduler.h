// Decides when the owner probes the target beside it. It spends the node's
// share of the measuring budget where a probe is worth most, and checks the
// budget at the moment of the send.

#ifndef BULRUSHMOUNT_CORE_MEASURING_PROBE_SCHEDULER_H_
#define BULRUSHMOUNT_CORE_MEASURING_PROBE_SCHEDULER_H_

#include <memory>
#include <optional>

#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"
#include "core/measuring/budget_lease.h"
#include "core/measuring/measuring_settings.h"
#include "core/measuring/probe_credit.h"
#include "core/measuring/probe_need.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// Send the target beside this node one probe.
struct ProbeOrder {
  ProbeId probe;
  // The budget covers a probe whose bytes leave before this moment. Later it
  // must be dropped and reported as failed: the node was stopped in between,
  // and the share may be another's by now.
  TimePoint valid_until;
  // The connection must be closed and the probe reported as failed then.
  TimePoint gives_up_at;
};

class ProbeScheduler {
 public:
  // `random` must outlive the object.
  ProbeScheduler(NodeId self,
                 const MeasuringSettings& settings,
                 RandomSource& random);

  // The service of the target beside this node; empty when it is gone.
  void OnTarget(TimePoint now, const std::optional<ServiceName>& service);

  // The measuring contract in force, at every change of the revision too;
  // null if there is none. A revision below the last one is late and ignored.
  void OnContract(TimePoint now,
                  Revision revision,
                  const MeasuringTerms* terms);

  void OnFleetSize(const FleetSize& size);

  // From `TargetLifecycle::Need`, after each event and timer of the target's
  // life.
  void OnNeed(TimePoint now, ProbeNeed need);

  // Call when `NextWakeup` has come.
  std::optional<ProbeOrder> OnTimer(TimePoint now, TableService& table);

  // For each order exactly one of these; an answer to an unknown probe is
  // ignored.
  void OnProbeAnswered(TimePoint now, ProbeId probe);
  void OnProbeFailed(TimePoint now, ProbeId probe);

  // May change with every call and with every reply of the table.
  TimePoint NextWakeup() const;

 private:
  // Spends the credit for a probe if one may be sent now.
  std::optional<ProbeOrder> TakeOrder(TimePoint now);
  void ApplyBudget(TimePoint now);
  Duration Interval() const;
  // The earliest moment for the next probe; TimePoint::max() if there is none.
  TimePoint NextProbe(TimePoint now) const;

  const NodeId m_self;
  const MeasuringSettings m_settings;
  RandomSource& m_random;

  std::optional<ServiceName> m_service;
  std::optional<MeasuringTerms> m_terms;
  Revision m_revision;
  FleetSize m_size;
  ProbeNeed m_need = ProbeNeed::kNone;
  // Set exactly if m_service is.
  std::unique_ptr<BudgetLease> m_lease;
  // Outlives the lease: probes in flight go on counting.
  ProbeCredit m_credit;
  std::optional<TimePoint> m_last_probe;
  TimePoint m_last_call;
  ProbeId m_last_id;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_PROBE_SCHEDULER_H_
