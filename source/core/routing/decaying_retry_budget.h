// A node's own retry budget, as a fraction of its recent first attempts.

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
  // Retries for each first attempt.
  double fraction = 0.2;
  // Retries that a service with little traffic may still make in `memory`.
  double floor = 5.0;
  // How long an attempt counts as recent (time constant of the decay).
  Duration memory = std::chrono::seconds(1);
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
  // Counts decay by e in `memory`.
  struct Counts {
    double first_attempts = 0;
    double retries = 0;
    // Reserved, and neither spent nor returned. These do not decay.
    std::uint32_t reserved = 0;
    TimePoint as_of;
  };

  Counts& Decayed(TimePoint now, const ServiceName& service);

  DecayingRetryBudgetSettings m_settings;
  std::unordered_map<ServiceName, Counts> m_counts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_DECAYING_RETRY_BUDGET_H_
