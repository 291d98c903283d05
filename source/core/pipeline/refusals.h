// What an owner's refusal says of its service.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_

#include "core/common/outcome.h"

namespace bulrushmount {

// The target had no room in time. Other refusals say nothing of the load: of a
// target that leaves or is gone, or of one that sheds although its owner keeps
// it from being full.
inline bool SaysNoRoom(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kSlowTarget:
    case Reason::kDeadlineTooShort:
      return true;
    default:
      return false;
  }
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_REFUSALS_H_
