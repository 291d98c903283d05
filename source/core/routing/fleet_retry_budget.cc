// Part of `fleet_retry_budget.h`.

#include "core/routing/fleet_retry_budget.h"

#include <algorithm>

namespace bulrushmount {

namespace {

// Number of steps in which the window slides by its length.
constexpr int kSteps = 40;

// Fraction of the budget that nodes spend on their own retries. The rest covers
// retries that they cannot see: a request that runs again makes its own calls
// again, and these count as retries of the services that it calls.
constexpr double kUsableFraction = 0.5;

// Lower bound of the assumed fleet size, for a node that does not know the
// other members yet.
constexpr std::size_t kMinNodes = 8;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const FleetRetryBudgetSettings& settings)
    : m_settings(settings), m_max_nodes(kMinNodes) {}

void FleetRetryBudget::OnFirstAttempt(TimePoint now,
                                      const ServiceName& service) {
  Counts& counts = SlideWindow(now, service);
  ++counts.buckets.back().first_attempts;
  ++counts.first_attempts;
}

bool FleetRetryBudget::Reserve(TimePoint now, const ServiceName& service) {
  Counts& counts = SlideWindow(now, service);
  const double slack = m_settings.slack / static_cast<double>(m_max_nodes);
  const double budget =
      kUsableFraction * (slack + m_settings.fraction * counts.first_attempts);
  if (counts.retries + counts.reserved + 1 > budget)
    return false;
  ++counts.reserved;
  return true;
}

void FleetRetryBudget::Spend(TimePoint now, const ServiceName& service) {
  Counts& counts = SlideWindow(now, service);
  --counts.reserved;
  ++counts.buckets.back().retries;
  ++counts.retries;
}

void FleetRetryBudget::Return(const ServiceName& service) {
  --m_counts.at(service).reserved;
}

void FleetRetryBudget::SetFleetSize(std::size_t nodes) {
  m_max_nodes = std::max(m_max_nodes, nodes);
}

FleetRetryBudget::Counts& FleetRetryBudget::SlideWindow(
    TimePoint now,
    const ServiceName& service) {
  Counts& counts = m_counts[service];
  const Duration step = m_settings.window / kSteps;
  while (!counts.buckets.empty() &&
         counts.buckets.front().begun_at + m_settings.window + step <= now) {
    counts.first_attempts -= counts.buckets.front().first_attempts;
    counts.retries -= counts.buckets.front().retries;
    counts.buckets.pop_front();
  }
  if (counts.buckets.empty() || counts.buckets.back().begun_at + step <= now)
    counts.buckets.push_back(Bucket{now, 0, 0});
  return counts;
}

}  // namespace bulrushmount
