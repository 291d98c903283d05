// Tracks which target runs on the node and whether it may get requests, by the
// heartbeats of targets. These may arrive late or out of order, and from
// targets that have drained, left, or been replaced at the same address.
//
// A node that was restarted has no state, and a delayed "ready" heartbeat may
// be from a target that has since reported to the previous process that it
// drains. Opening on that heartbeat would start requests on the target after
// its drain was acknowledged. So the first heartbeat of a target counts only
// once the target itself confirms it: by its health endpoint under the same id,
// or by a newer heartbeat that arrives once the probe has ended; heartbeats
// that were delayed together confirm nothing. If its health endpoint reports
// that it is unhealthy, it may have left: then it is probed again at each newer
// heartbeat, and only heartbeats that continue for longer than one can be
// delayed confirm it. A process that has drained or left never opens the gate
// again.
//
// A target may restart under the same id, and its sequence numbers start again.
// Unless its processes are distinguished, the heartbeats of the new one look
// like late ones of the old one, and the target never gets requests again.

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

// Action for the caller to take after an event.
enum class GateAction : std::uint8_t {
  kNone,
  // Probe the health endpoint of `candidate`, and call OnProbe with the result.
  kProbe,
  // `current` may get requests; it is new, or its heartbeat was repeated.
  kOpen,
  // The target gets no more requests.
  kClose,
};

class TargetGate {
 public:
  GateAction OnHeartbeat(TimePoint now, const TargetHeartbeat& heartbeat);
  // `started` is the process of the target that has left; without it, the
  // newest known one.
  GateAction OnDeparted(const InstanceId& instance,
                        const std::optional<ProcessStart>& started = {});

  // `instance` is the id of the target that answered; empty if it does not
  // report one.
  GateAction OnProbe(const InstanceId& instance, bool is_healthy);
  GateAction OnProbeFailed();

  // The target that may get requests; empty if there is none.
  const std::optional<TargetHeartbeat>& current() const { return m_current; }
  // The target whose first heartbeat is not confirmed yet.
  const std::optional<TargetHeartbeat>& candidate() const {
    return m_candidate;
  }

 private:
  // State of a target's newest process, by which late heartbeats of it and of
  // earlier processes are recognized.
  struct Record {
    InstanceId instance;
    // Empty until a heartbeat reports it. Never decreases.
    std::optional<ProcessStart> started;
    std::uint64_t newest_sequence = 0;
    // The process drains, has left or was replaced. Never reset for this
    // process.
    bool is_closed = false;
  };

  Record& RecordOf(const InstanceId& instance);
  // Returns whether the process that started at `started` is the record's; if
  // it is a later one, the record is updated to it. False for an earlier one.
  static bool UpdateProcess(const std::optional<ProcessStart>& started,
                            Record& record);
  // Whether heartbeats alone confirm the candidate.
  bool MayConfirmCandidate(TimePoint now) const;
  // Whether `heartbeat` is from the target and process of `known`.
  static bool IsSameProcess(const std::optional<TargetHeartbeat>& known,
                            const TargetHeartbeat& heartbeat);
  GateAction Close(const InstanceId& instance);
  // Handles the departure of a process that is no longer its target's newest.
  GateAction CloseEarlierProcess(const InstanceId& instance,
                                 const std::optional<ProcessStart>& started);
  GateAction Open(const TargetHeartbeat& heartbeat);

  // Newest last; at most kMaxRecords.
  std::deque<Record> m_records;
  std::optional<TargetHeartbeat> m_current;
  std::optional<TargetHeartbeat> m_candidate;
  // Set with m_candidate: when its first heartbeat arrived, and whether its
  // health endpoint has answered since that it is unhealthy.
  TimePoint m_candidate_since;
  bool m_is_candidate_unhealthy = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_GATE_H_
