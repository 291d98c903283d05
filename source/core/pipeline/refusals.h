// Classifies the reasons of owner refusals.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_

#include "core/common/outcome.h"

namespace bulrushmount {

// The target had no capacity in time. Other refusals do not indicate load:
// the target is leaving or gone, or it sheds calls although its owner keeps it
// below its limit.
inline bool IsCapacityRefusal(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kSlowTarget:
    case Reason::kDeadlineTooShort:
    case Reason::kTargetRateLimit:
      return true;
    default:
      return false;
  }
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
