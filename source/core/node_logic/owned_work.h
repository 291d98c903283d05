// A request at the owner of the target that is to run it, and the line that it
// leaves in the log.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_OWNED_WORK_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_OWNED_WORK_H_

#include <cstdint>
#include <string_view>

#include "core/admission/admission.h"
#include "core/common/time.h"
#include "core/pipeline/dispatcher.h"
#include "core/quarantine/quarantine.h"
#include "core/target_state/target_speed.h"

namespace bulrushmount::detail {

struct OwnedWork {
  WorkHead head;
  TimePoint arrived_at;
  TimePoint deadline;
  // From here on the target may run it.
  bool is_handed_over = false;
  bool is_answer_begun = false;
  int status = 0;
  // As of the hand-over, for the log.
  TimePoint started_at;
  std::uint32_t running_at_start = 0;
  double slowdown_at_start = 1.0;
  Duration slowdown_age{};

  // How the quarantine knows it.
  AdmittedWork admitted() const { return {head.fingerprint, head.is_suspect}; }
  // Until it was handed over, or until `now`.
  Duration WaitedAt(TimePoint now) const {
    return (is_handed_over ? started_at : now) - arrived_at;
  }
};

// One line a request, with the id under which its entry logs it as well.
// `result` is how it ended, `load` and `speed` are the target's as of now.
void LogEndedWork(TimePoint now,
                  const OwnedWork& work,
                  std::string_view result,
                  const LoadReport& load,
                  const TargetSpeed& speed);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNED_WORK_H_
