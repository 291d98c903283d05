// Part of `decaying_retry_budget.h`.

#include "core/routing/decaying_retry_budget.h"

#include <cmath>

namespace bulrushmount {

DecayingRetryBudget::DecayingRetryBudget(
    const DecayingRetryBudgetSettings& settings)
    : m_settings(settings) {}

void DecayingRetryBudget::OnFirstAttempt(TimePoint now,
                                         const ServiceName& service) {
  DecayedCounts(now, service).first_attempts += 1;
}

bool DecayingRetryBudget::Reserve(TimePoint now, const ServiceName& service) {
  Counts& counts = DecayedCounts(now, service);
  const double budget =
      m_settings.floor + m_settings.fraction * counts.first_attempts;
  if (counts.retries + counts.reserved + 1 > budget)
    return false;
  ++counts.reserved;
  return true;
}

void DecayingRetryBudget::Spend(TimePoint now, const ServiceName& service) {
  Counts& counts = DecayedCounts(now, service);
  --counts.reserved;
  counts.retries += 1;
}

void DecayingRetryBudget::Return(const ServiceName& service) {
  --m_counts.at(service).reserved;
}

DecayingRetryBudget::Counts& DecayingRetryBudget::DecayedCounts(
    TimePoint now,
    const ServiceName& service) {
  Counts& counts =
      m_counts.try_emplace(service, Counts{0, 0, 0, now}).first->second;
  const double decay = std::exp(-ToSeconds(now - counts.as_of) /
                                ToSeconds(m_settings.decay_time));
  counts.first_attempts *= decay;
  counts.retries *= decay;
  counts.as_of = now;
  return counts;
}

}  // namespace bulrushmount
