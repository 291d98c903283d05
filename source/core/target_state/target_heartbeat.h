// Heartbeats that a target with an instance id sends periodically about itself.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_HEARTBEAT_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_HEARTBEAT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

enum class TargetReadiness : std::uint8_t { kReady, kDraining };

// Start time of a target's process by the target's own clock. A target that
// restarts under the same id has a later one, and its new process has no state
// of the earlier one. Comparable only between heartbeats of the same id.
using ProcessStart = std::chrono::sys_time<std::chrono::milliseconds>;

// May arrive late, out of order, or after a newer target has replaced the
// sender.
struct TargetHeartbeat {
  InstanceId instance;
  ServiceName service;
  Endpoint endpoint;
  std::uint32_t slots = 0;
  TargetReadiness readiness = TargetReadiness::kReady;
  // Remaining time of the target's cold start.
  Duration cold_time_left{};
  // Increases with each heartbeat of a target's process.
  std::uint64_t sequence = 0;
  // Empty if the target does not report it.
  std::optional<ProcessStart> started{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_HEARTBEAT_H_
