// What a target that is known by an id says of itself, again and again.

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

// When a target's process started, by its own time of day. A target that starts
// again under its id has a later one, and remembers nothing of before. Compared
// only between words of one id.
using ProcessStart = std::chrono::sys_time<std::chrono::milliseconds>;

// May come late, out of order, and after a newer target has taken the place.
struct TargetHeartbeat {
  InstanceId instance;
  ServiceName service;
  Endpoint endpoint;
  std::uint32_t slots = 0;
  TargetReadiness readiness = TargetReadiness::kReady;
  // What is left of the target's cold start.
  Duration cold_time_left{};
  // Rises with each heartbeat of one process of a target.
  std::uint64_t sequence = 0;
  // Empty if the target does not tell.
  std::optional<ProcessStart> started{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_HEARTBEAT_H_
