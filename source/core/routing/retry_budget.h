// Bounds retries to a fraction of recent first attempts, so that an overload
// is not multiplied by the attempts to get around it.

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

  // Sets one retry aside, if the budget has one left: whether this attempt may
  // be sent again if it is refused. Asked before the attempt is sent, since an
  // owner holds on longer to an attempt that will not be sent again.
  [[nodiscard]] virtual bool Reserve(TimePoint now,
                                     const ServiceName& service) = 0;

  // The reserved retry is made.
  virtual void Spend(TimePoint now, const ServiceName& service) = 0;

  // The reserved retry is not needed.
  virtual void Return(const ServiceName& service) = 0;

  // Nodes that share the budget, this one included.
  virtual void SetFleetSize(std::size_t nodes) {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_RETRY_BUDGET_H_
