// Part of `fleet_retry_budget.h`.

#include "core/routing/fleet_retry_budget.h"

#include <algorithm>

namespace bulrushmount {

namespace {

// Steps by which the window slides.
constexpr int kSteps = 40;

// Part of the budget that nodes spend on purpose. The rest is for what they do
// not see as retries: a request that runs again makes its own calls again, and
// these count as retries of the services that it calls.
constexpr double kSpentPart = 0.5;

// A node that has not heard of the others yet takes the fleet for this large.
constexpr std::size_t kLeastNodes = 8;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const FleetRetryBudgetSettings& settings)
    : m_settings(settings), m_most_nodes(kLeastNodes) {}

void FleetRetryBudget::OnFirstAttempt(TimePoint now,
                                      const ServiceName& service) {
  Counts& counts = Slide(now, service);
  ++counts.buckets.back().first_attempts;
  ++counts.first_attempts;
}

bool FleetRetryBudget::Reserve(TimePoint now, const ServiceName& service) {
  Counts& counts = Slide(now, service);
  const double slack = m_settings.slack / static_cast<double>(m_most_nodes);
  const double budget =
      kSpentPart * (slack + m_settings.fraction * counts.first_attempts);
  if (counts.retries + counts.reserved + 1 > budget)
    return false;
  ++counts.reserved;
  return true;
}

void FleetRetryBudget::Spend(TimePoint now, const ServiceName& service) {
  Counts& counts = Slide(now, service);
  --counts.reserved;
  ++counts.buckets.back().retries;
  ++counts.retries;
}

void FleetRetryBudget::Return(const ServiceName& service) {
  --m_counts.at(service).reserved;
}

void FleetRetryBudget::SetFleetSize(std::size_t nodes) {
  m_most_nodes = std::max(m_most_nodes, nodes);
}

FleetRetryBudget::Counts& FleetRetryBudget::Slide(TimePoint now,
                                                  const ServiceName& service) {
  Counts& counts = m_counts[service];
  const Duration step = m_settings.window / kSteps;
  while (!counts.buckets.empty() &&
         counts.buckets.front().begun + m_settings.window + step <= now) {
    counts.first_attempts -= counts.buckets.front().first_attempts;
    counts.retries -= counts.buckets.front().retries;
    counts.buckets.pop_front();
  }
  if (counts.buckets.empty() || counts.buckets.back().begun + step <= now)
    counts.buckets.push_back(Bucket{now, 0, 0});
  return counts;
}

}  // namespace bulrushmount
