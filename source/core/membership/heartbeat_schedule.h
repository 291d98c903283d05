// Selects the member for the next heartbeat: a shuffled round robin over the
// members of this node's region, and another over the members of other regions.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_

#include <cstddef>
#include <vector>

#include "core/common/random.h"
#include "core/membership/member_table.h"

namespace bulrushmount {

class HeartbeatSchedule {
 public:
  // Every `far_interval`th heartbeat goes to another region.
  HeartbeatSchedule(NodeId self, Region region, std::size_t far_interval);

  // Returns each live member once per round. Null if there is no other live
  // member.
  const Member* Next(const MemberTable& table, RandomSource& random);

  // Inserts a new member into the current round. Otherwise no node would
  // monitor it until the rounds end, which takes minutes in a large fleet.
  void Add(const Member& member, RandomSource& random);

 private:
  struct Round {
    std::vector<NodeId> ids;
    std::size_t next = 0;
  };

  const Member* NextOf(Round& round,
                       bool is_near,
                       const MemberTable& table,
                       RandomSource& random);
  void Refill(Round& round,
              bool is_near,
              const MemberTable& table,
              RandomSource& random);

  NodeId m_self;
  Region m_region;
  std::size_t m_far_interval;
  std::size_t m_count = 0;
  Round m_near;
  Round m_far;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_
