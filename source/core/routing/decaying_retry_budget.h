// Retry budget of a single node, as a fraction of its recent first attempts,
// which are counted with exponential decay.

#ifndef BULRUSHMOUNT_CORE_ROUTING_DECAYING_RETRY_BUDGET_H_
#define BULRUSHMOUNT_CORE_ROUTING_DECAYING_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/routing/retry_budget.h"

namespace bulrushmount {

struct DecayingRetryBudgetSettings {
  // Retries per first attempt.
  double fraction = 0.2;
  // Retries that a service with little traffic may make within `decay_time`.
  double floor = 5.0;
  // Time constant with which counts of attempts decay.
  Duration decay_time = std::chrono::seconds(1);
};

class DecayingRetryBudget : public RetryBudget {
 public:
  explicit DecayingRetryBudget(const DecayingRetryBudgetSettings& settings);

  void OnFirstAttempt(TimePoint now, const ServiceName& service) override;
  [[nodiscard]] bool Reserve(TimePoint now,
                             const ServiceName& service) override;
  void Spend(TimePoint now, const ServiceName& service) override;
  void Return(const ServiceName& service) override;

 private:
  // Both counts decay by a factor of e in `decay_time`.
  struct Counts {
    double first_attempts = 0;
    double retries = 0;
    // Retries reserved but neither spent nor returned. These do not decay.
    std::uint32_t reserved = 0;
    TimePoint as_of;
  };

  Counts& DecayedCounts(TimePoint now, const ServiceName& service);

  DecayingRetryBudgetSettings m_settings;
  std::unordered_map<ServiceName, Counts> m_counts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_DECAYING_RETRY_BUDGET_H_
