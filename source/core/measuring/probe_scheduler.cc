// Part of `probe_scheduler.h`: combines the target's need, the leased slot and
// the used credit.

#include "core/measuring/probe_scheduler.h"

#include <algorithm>

namespace bulrushmount {

ProbeScheduler::ProbeScheduler(NodeId self,
                               const MeasuringSettings& settings,
                               RandomSource& random)
    : m_self(self), m_settings(settings), m_random(random) {}

void ProbeScheduler::OnTarget(TimePoint now,
                              const std::optional<ServiceName>& service) {
  m_last_call = now;
  if (service == m_service) {
    return;
  }
  // The slot of the earlier service is not used any more, and its lease
  // expires.
  m_lease.reset();
  m_service = service;
  if (!service) {
    return;
  }
  m_lease = std::make_unique<BudgetLease>(m_self, *service, m_settings,
                                          m_random, now);
  m_lease->OnFleetSize(m_size);
  m_lease->OnNeed(now, m_need);
  ApplyBudget(now);
}

void ProbeScheduler::OnContract(TimePoint now,
                                Revision revision,
                                const MeasuringTerms* terms) {
  m_last_call = now;
  if (revision < m_revision) {
    return;
  }
  m_revision = revision;
  m_terms = terms ? std::optional<MeasuringTerms>(*terms) : std::nullopt;
  ApplyBudget(now);
}

void ProbeScheduler::OnFleetSize(const FleetSize& size) {
  m_size = size;
  if (m_lease) {
    m_lease->OnFleetSize(size);
  }
}

void ProbeScheduler::OnNeed(TimePoint now, ProbeNeed need) {
  m_last_call = now;
  m_need = need;
  if (m_lease) {
    m_lease->OnNeed(now, need);
  }
}

std::optional<ProbeOrder> ProbeScheduler::OnTimer(TimePoint now,
                                                  TableService& table) {
  m_last_call = now;
  if (!m_lease) {
    return std::nullopt;
  }
  const std::optional<ProbeOrder> order = NextOrder(now);
  m_lease->OnTimer(now, m_credit.IdleAt(), table);
  return order;
}

std::optional<ProbeOrder> ProbeScheduler::NextOrder(TimePoint now) {
  if (now < NextProbe(now)) {
    return std::nullopt;
  }
  m_last_id = ProbeId(m_last_id.value() + 1);
  const ProbeOrder order{m_last_id, now + m_settings.send_tolerance,
                         now + m_settings.probe_timeout};
  m_credit.Spend(now, order.probe, order.gives_up_at);
  m_last_probe = now;
  return order;
}

void ProbeScheduler::OnProbeAnswered(TimePoint now, ProbeId probe) {
  m_last_call = now;
  m_credit.OnAnswered(probe);
}

void ProbeScheduler::OnProbeFailed(TimePoint now, ProbeId probe) {
  m_last_call = now;
  m_credit.OnFailed(probe);
}

TimePoint ProbeScheduler::NextWakeup() const {
  if (!m_lease) {
    return TimePoint::max();
  }
  return std::min(NextProbe(m_last_call),
                  m_lease->NextWakeup(m_credit.IdleAt()));
}

void ProbeScheduler::ApplyBudget(TimePoint now) {
  if (!m_lease) {
    return;
  }
  BudgetLayout layout;
  if (m_terms) {
    const auto& budgets = m_terms->budgets;
    const auto budget = std::find_if(
        budgets.begin(), budgets.end(),
        [&](const auto& entry) { return entry.service == *m_service; });
    layout = budget == budgets.end() ? BudgetLayout() : BudgetLayout(*budget);
  }
  m_lease->OnBudget(now, m_revision, layout);
}

Duration ProbeScheduler::Interval() const {
  switch (m_need) {
    case ProbeNeed::kNone:
      break;
    case ProbeNeed::kIdle:
      return m_settings.idle_interval;
    case ProbeNeed::kWarming:
      return m_settings.warming_interval;
    case ProbeNeed::kSuspect:
      return m_settings.suspect_interval;
  }
  return Duration::max();
}

TimePoint ProbeScheduler::NextProbe(TimePoint now) const {
  const std::optional<HeldSlot> held = m_lease->Held();
  if (!held || m_need == ProbeNeed::kNone) {
    return TimePoint::max();
  }
  TimePoint earliest = m_credit.EarliestProbe(now, held->share, m_settings);
  earliest = std::max(earliest, held->usable_from);
  if (m_last_probe) {
    earliest = std::max(earliest, *m_last_probe + Interval());
  }
  return earliest < held->usable_until ? earliest : TimePoint::max();
}

}  // namespace bulrushmount
