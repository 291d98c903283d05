// State machine of this node's own membership: joining, member, leaving, left.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_LIFECYCLE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace bulrushmount {

enum class MemberPhase : std::uint8_t { kJoining, kMember, kLeaving, kLeft };

class MemberLifecycle {
 public:
  MemberLifecycle();
  ~MemberLifecycle();

  MemberPhase phase() const;

  // Another live member has answered.
  void OnPeerContact();
  // The process was paused: the node must receive a datagram from another
  // member before it counts as a member again.
  void OnIsolated();
  void OnLeaveRequested();
  // Enough members have been notified of the departure.
  void OnDepartureSpread();

 private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_LIFECYCLE_H_
