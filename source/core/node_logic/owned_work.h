// A request at the owner of its target, and its log line.

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
  // Set at the hand-over; from then on the target may run it.
  bool is_handed_over = false;
  bool is_answer_begun = false;
  int status = 0;
  // Once handed over: when the owner ends it; see WorkTimeLimits.
  TimePoint overdue_at;
  // State at the hand-over, for the log.
  TimePoint started_at;
  TargetProcess process;
  std::uint32_t running_at_start = 0;
  double slowdown_at_start = 1.0;
  Duration slowdown_age{};

  // The work as the quarantine identifies it.
  AdmittedWork admitted() const { return {head.fingerprint, head.is_suspect}; }
  // Time until the hand-over, or until `now` if still queued.
  Duration WaitedAt(TimePoint now) const {
    return (is_handed_over ? started_at : now) - arrived_at;
  }
};

// Writes one log line per request, with the same request id as at its entry.
// `result` is how it ended; `load` and `speed` are the current values of the
// target.
void LogEndedWork(TimePoint now,
                  const OwnedWork& work,
                  std::string_view result,
                  const LoadReport& load,
                  const TargetSpeed& speed);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNED_WORK_H_
