// Which target is beside the node, and whether it may be handed work, by what
// targets say of themselves: heartbeats that come late or out of order, from
// targets that have drained, left, or been replaced at the same address.
//
// What goes wrong without it: a node that was restarted knows nothing, and a
// heartbeat that was held up says "ready" of a target that has since told the
// node before that it leaves. Opening on that heartbeat sends work to a target
// that was promised none; one would see requests that begin after the drain
// was acknowledged. So the first word of a target counts only once the target
// itself confirms it: by its health endpoint under the same id, or by a second,
// newer heartbeat. A process that has drained or left once never opens again.
//
// A target may start again under its id, and its sequence begins anew. What
// goes wrong without telling its processes apart: the new one looks like late
// words of the old one, and the target gets no work for good.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_GATE_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_GATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/target_state/target_heartbeat.h"

namespace bulrushmount {

// What is to be done after an event.
enum class GateVerdict : std::uint8_t {
  kNone,
  // Ask the health endpoint of `candidate`, and tell OnProbe.
  kProbe,
  // `current` may have work; it is new, or its heartbeat was repeated.
  kOpen,
  // The target takes no more work.
  kClose,
};

class TargetGate {
 public:
  GateVerdict OnHeartbeat(TimePoint now, const TargetHeartbeat& heartbeat);
  // `started` tells which process of the target has left; without it, the
  // newest that is known.
  GateVerdict OnDeparted(const InstanceId& instance,
                         const std::optional<ProcessStart>& started = {});

  // `instance` is who answered; empty if the target tells no id.
  GateVerdict OnProbe(const InstanceId& instance, bool is_healthy);
  GateVerdict OnProbeFailed();

  // The target that may have work; empty if there is none.
  const std::optional<TargetHeartbeat>& current() const { return m_current; }
  // The target whose first word is not yet confirmed.
  const std::optional<TargetHeartbeat>& candidate() const {
    return m_candidate;
  }

 private:
  // What is remembered of a target's newest process, so that a late word of it
  // or of an earlier one is known as such.
  struct Record {
    InstanceId instance;
    // Empty until a word has told it. Never falls.
    std::optional<ProcessStart> started;
    std::uint64_t newest_sequence = 0;
    // It drains, has left or was replaced. Never taken back for this process.
    bool is_closed = false;
  };

  Record& RecordOf(const InstanceId& instance);
  // Whether a word of the process that started then is of the record's, which
  // becomes that process if it is a later one. False for an earlier one.
  static bool FollowProcess(const std::optional<ProcessStart>& started,
                            Record& record);
  // Whether the target of the word is the one in `place`, in the same process.
  static bool IsSameProcess(const std::optional<TargetHeartbeat>& place,
                            const TargetHeartbeat& heartbeat);
  GateVerdict Close(const InstanceId& instance);
  // A process of the target that is no longer its newest has left.
  GateVerdict CloseEarlier(const InstanceId& instance,
                           const std::optional<ProcessStart>& started);
  GateVerdict Open(const TargetHeartbeat& heartbeat);

  // Newest last; at most kMaxRecords.
  std::deque<Record> m_records;
  std::optional<TargetHeartbeat> m_current;
  std::optional<TargetHeartbeat> m_candidate;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_GATE_H_
