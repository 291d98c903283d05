// The life of this node as a member: joining, member, leaving, left.

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
  // After a long pause: the node must be heard again before it is a member.
  void OnIsolated();
  void OnLeaveRequested();
  // The departure was told to enough members.
  void OnDepartureSpread();

 private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_LIFECYCLE_H_
