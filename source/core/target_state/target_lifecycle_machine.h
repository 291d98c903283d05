// State machine of a target's lifecycle. It holds no data but the state;
// TargetLifecycle evaluates the evidence and raises the events.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_MACHINE_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_MACHINE_H_

#include <cstdint>
#include <memory>

#include "core/target_state/target_lifecycle.h"

namespace bulrushmount::detail {

enum class TargetLifecycleEvent : std::uint8_t {
  // A new incarnation.
  kAnnounced,
  // First answered request or healthy probe, or a suspect target is tried
  // again.
  kAnswered,
  kColdStartOver,
  kSuspected,
  kWithdrawn,
  // Its last request ended, or too many announcements were missed.
  kGone,
};

class TargetLifecycleMachine {
 public:
  TargetLifecycleMachine();
  ~TargetLifecycleMachine();

  TargetLifecycleMachine(const TargetLifecycleMachine&) = delete;
  TargetLifecycleMachine& operator=(const TargetLifecycleMachine&) = delete;

  // Ignores events that do not apply in the current state, since targets may
  // send any report at any time.
  void Handle(TargetLifecycleEvent event);

  TargetState state() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_MACHINE_H_
