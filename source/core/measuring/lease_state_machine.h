// State machine of a lease of a measuring slot. The slot is used only in the
// held state; in every other state it counts as possibly held by another node.

#ifndef BULRUSHMOUNT_CORE_MEASURING_LEASE_STATE_MACHINE_H_
#define BULRUSHMOUNT_CORE_MEASURING_LEASE_STATE_MACHINE_H_

#include <cstdint>
#include <memory>

namespace bulrushmount {

enum class LeaseState : std::uint8_t {
  kAbsent,
  // The request for the slot is pending.
  kRequested,
  kHeld,
  // Not used by this node any more; the request to delete the row is pending.
  kReleasing,
  // An answer was lost. Only reading the row shows whether this node holds the
  // slot.
  kOutcomeUnknown,
};

enum class LeaseEvent : std::uint8_t {
  kRequested,
  // The table granted the slot, or the row that was read shows that it did.
  kGranted,
  // The table refused the slot, or the row that was read is not this node's.
  kRefused,
  kAnswerLost,
  // The slot is no longer used by this node.
  kReleaseRequested,
  // The term has ended, another node holds the row, or the release is complete.
  kLapsed,
};

class LeaseStateMachine {
 public:
  LeaseStateMachine();
  ~LeaseStateMachine();

  LeaseStateMachine(const LeaseStateMachine&) = delete;
  LeaseStateMachine& operator=(const LeaseStateMachine&) = delete;

  // An event without a transition from the current state is a broken invariant
  // and aborts the process.
  void Handle(LeaseEvent event);

  LeaseState state() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_LEASE_STATE_MACHINE_H_
