// Interface that limits retries to a fraction of recent first attempts, so that
// retries do not multiply an overload.

#ifndef BULRUSHMOUNT_CORE_ROUTING_RETRY_BUDGET_H_
#define BULRUSHMOUNT_CORE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class RetryBudget {
 public:
  virtual ~RetryBudget() = default;

  virtual void OnFirstAttempt(TimePoint now, const ServiceName& service) = 0;

  // Reserves one retry if the budget has one left; returns whether this attempt
  // may be retried if it is refused. Called before the attempt is sent, since
  // an owner lets an attempt wait longer if it will not be retried.
  [[nodiscard]] virtual bool Reserve(TimePoint now,
                                     const ServiceName& service) = 0;

  // Spends the reserved retry.
  virtual void Spend(TimePoint now, const ServiceName& service) = 0;

  // Releases the reserved retry.
  virtual void Return(const ServiceName& service) = 0;

  // Sets the number of nodes that share the budget, including this one.
  virtual void SetFleetSize(std::size_t nodes) {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_RETRY_BUDGET_H_
