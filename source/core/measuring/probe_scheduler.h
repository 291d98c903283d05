// Decides when an owner probes its target. It spends the node's share of the
// measuring budget where a probe is needed most, and checks the budget at the
// time of the send.

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

// Instruction to send one probe to the node's target.
struct ProbeOrder {
  ProbeId probe;
  // The budget covers a probe that is sent before this time. Later it must be
  // dropped and reported as failed, since the process was suspended in between
  // and another node may hold the slot by now.
  TimePoint valid_until;
  // Time at which the connection must be closed and the probe reported as
  // failed.
  TimePoint gives_up_at;
};

class ProbeScheduler {
 public:
  // `random` must outlive the object.
  ProbeScheduler(NodeId self,
                 const MeasuringSettings& settings,
                 RandomSource& random);

  // Sets the service of the node's target; empty if there is no target.
  void OnTarget(TimePoint now, const std::optional<ServiceName>& service);

  // Sets the measuring contract in force; null if there is none. Also called
  // when only the revision changes. A revision below the last one is late and
  // ignored.
  void OnContract(TimePoint now,
                  Revision revision,
                  const MeasuringTerms* terms);

  void OnFleetSize(const FleetSize& size);

  // Sets the result of `TargetLifecycle::Need`; called after each event and
  // timer of the target.
  void OnNeed(TimePoint now, ProbeNeed need);

  // Call it at `NextWakeup`.
  std::optional<ProbeOrder> OnTimer(TimePoint now, TableService& table);

  // Call exactly one of these for each order. An answer to an unknown probe is
  // ignored.
  void OnProbeAnswered(TimePoint now, ProbeId probe);
  void OnProbeFailed(TimePoint now, ProbeId probe);

  // May change with every call and with every reply of the table.
  TimePoint NextWakeup() const;

 private:
  // Uses credit for a probe if one may be sent now.
  std::optional<ProbeOrder> NextOrder(TimePoint now);
  void ApplyBudget(TimePoint now);
  Duration Interval() const;
  // Earliest time of the next probe; TimePoint::max() if there is none.
  TimePoint NextProbe(TimePoint now) const;

  const NodeId m_self;
  const MeasuringSettings m_settings;
  RandomSource& m_random;

  std::optional<ServiceName> m_service;
  std::optional<MeasuringTerms> m_terms;
  Revision m_revision;
  FleetSize m_size;
  ProbeNeed m_need = ProbeNeed::kNone;
  // Set if and only if m_service is.
  std::unique_ptr<BudgetLease> m_lease;
  // Outlives the lease, since its probes in flight still count.
  ProbeCredit m_credit;
  std::optional<TimePoint> m_last_probe;
  TimePoint m_last_call;
  ProbeId m_last_id;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_PROBE_SCHEDULER_H_
