// Selects the member for the next heartbeat: a shuffled round robin over the
// members of this node's region, and another over the members of other regions.
// While availability zones are distinguished, those of the region are divided
// into the members of this node's zone and those of other zones.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/common/random.h"
#include "core/membership/member_table.h"

namespace bulrushmount {

class HeartbeatSchedule {
 public:
  // Every `far_interval`th heartbeat goes to another region.
  HeartbeatSchedule(NodeId self, Region region, std::size_t far_interval);

  // Whether a member is in another availability zone of this node's region.
  using IsOtherZone = std::function<bool(const Member&)>;

  // Distinguishes zones from now on, or no longer if `is_other_zone` is empty.
  void SetZones(IsOtherZone is_other_zone);

  // Returns each live member once per round, except those of other zones. Null
  // if there is no other live member.
  const Member* Next(const MemberTable& table, RandomSource& random);

  // The same for the members of other zones of the region. Null if there is
  // none or zones are not distinguished.
  const Member* NextInOtherZones(const MemberTable& table,
                                 RandomSource& random);

  // Inserts a new member into the current round. Otherwise no node would
  // monitor it until the rounds end, which takes minutes in a large fleet.
  void Add(const Member& member, RandomSource& random);

 private:
  struct Round {
    std::vector<NodeId> ids;
    std::size_t next = 0;
  };

  enum class Distance : std::uint8_t { kNear, kOtherZone, kFar };

  Distance DistanceOf(const Member& member) const;
  const Member* NextOf(Distance distance,
                       const MemberTable& table,
                       RandomSource& random);
  void Refill(Distance distance,
              const MemberTable& table,
              RandomSource& random);

  NodeId m_self;
  Region m_region;
  std::size_t m_far_interval;
  std::size_t m_count = 0;
  IsOtherZone m_is_other_zone;
  // By distance.
  std::array<Round, 3> m_rounds;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_HEARTBEAT_SCHEDULE_H_
