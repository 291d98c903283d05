// This node's part of a retry budget that the whole fleet must keep together,
// in every window of a given length.
//
// Load pattern: a service sheds or loses answers, and every entry turns to its
// next target at the same moment. Each node counts exactly what it sends, in
// windows that slide by a fraction of their length, and the parts add up to
// less than the whole without a word between nodes: a node's retries follow
// from its own requests, and the fixed part is divided by the most nodes that
// were ever seen, so that a cut fleet does not spend it twice.

#ifndef BULRUSHMOUNT_CORE_ROUTING_FLEET_RETRY_BUDGET_H_
#define BULRUSHMOUNT_CORE_ROUTING_FLEET_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/routing/retry_budget.h"

namespace bulrushmount {

struct FleetRetryBudgetSettings {
  Duration window = std::chrono::seconds(10);
  // Of the whole fleet, in each window: retries for each first attempt, and
  // beside these.
  double fraction = 0.2;
  double slack = 50.0;
};

class FleetRetryBudget : public RetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetSettings& settings);

  void OnFirstAttempt(TimePoint now, const ServiceName& service) override;
  [[nodiscard]] bool Reserve(TimePoint now,
                             const ServiceName& service) override;
  void Spend(TimePoint now, const ServiceName& service) override;
  void Return(const ServiceName& service) override;
  void SetFleetSize(std::size_t nodes) override;

 private:
  // What happened in one step of the window.
  struct Bucket {
    TimePoint begun;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  struct Counts {
    // Oldest first; covers the window and one step more.
    std::deque<Bucket> buckets;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
    std::uint32_t reserved = 0;
  };

  // With a bucket for `now`, and without those that have left the window.
  Counts& Slide(TimePoint now, const ServiceName& service);

  FleetRetryBudgetSettings m_settings;
  std::size_t m_most_nodes = 0;
  std::unordered_map<ServiceName, Counts> m_counts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_FLEET_RETRY_BUDGET_H_
