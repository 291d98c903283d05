// This node's share of a retry budget that all nodes of the fleet together must
// keep within every window of a given length.
//
// Load pattern: a service sheds requests or loses answers, and every entry
// retries on its next target at the same moment. Each node counts exactly the
// attempts that it sends, in a window that slides in steps of a fraction of its
// length. The shares add up to less than the budget without communication
// between nodes: a node's retries are proportional to its own first attempts,
// and the fixed part is divided by the highest number of nodes ever seen, so
// that the parts of a partitioned fleet do not spend it twice.

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
  // Limits for the whole fleet in each window: retries per first attempt, and
  // further retries independent of these.
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
  // Counts of one step of the window.
  struct Bucket {
    TimePoint begun_at;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  struct Counts {
    // Oldest first; covers the window and one more step.
    std::deque<Bucket> buckets;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
    std::uint32_t reserved = 0;
  };

  // Returns the counts with a bucket for `now` and without buckets that have
  // left the window.
  Counts& SlideWindow(TimePoint now, const ServiceName& service);

  FleetRetryBudgetSettings m_settings;
  std::size_t m_max_nodes = 0;
  std::unordered_map<ServiceName, Counts> m_counts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_FLEET_RETRY_BUDGET_H_
