// Classifies owner refusals by their reasons and load reports.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_

#include "core/common/outcome.h"
#include "core/node_logic/call_types.h"

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

// Whether the target can run another request concurrently.
inline bool HasRoom(const LoadReport& load) {
  return load.queued == 0 && load.in_flight < load.limit;
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
