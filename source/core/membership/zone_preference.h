// Decides which availability zones a node distinguishes from its own, that is,
// to whose members it sends less. Does no I/O.
//
// A zone is not distinguished while it, or this node's zone, has few live
// members: they could not monitor each other. No zone is distinguished for a
// while after signs that a zone has become unreachable or reachable again: many
// records then change at once, and each node must learn them at first hand.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_ZONE_PREFERENCE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_ZONE_PREFERENCE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "core/common/time.h"
#include "core/membership/member_table.h"

namespace bulrushmount {

class ZonePreference {
 public:
  // Zones with fewer live members are not distinguished.
  static constexpr std::size_t kMinMembers = 4;
  // How many suspect members of a zone, or dead ones when another returns, show
  // a fault of the zone: this many, and this fraction of its members.
  static constexpr std::size_t kMinFaulty = 3;
  static constexpr std::size_t kFaultyDivisor = 8;
  // Longer than it takes to declare members dead, and to merge again after an
  // isolation of some seconds.
  static constexpr Duration kFaultTime = std::chrono::seconds(20);

  // How long after a revival the other dead members of the zone are expected to
  // return as well.
  static constexpr Duration kMergeTime = std::chrono::seconds(3);

  // An empty `zone` distinguishes none, and neither does !is_enabled.
  ZonePreference(AvailabilityZone zone, bool is_enabled);

  // Called after changes of the table. Returns whether the distinguished zones
  // have changed.
  bool Update(TimePoint now, const MemberTable& table);

  // A member that was declared dead has turned out to be alive. Call before
  // Update.
  void OnRevived(TimePoint now, const Member& member);

  bool is_active() const { return !m_others.empty(); }
  bool IsOther(const Member& member) const {
    return m_others.contains(member.zone);
  }
  const std::set<AvailabilityZone>& others() const { return m_others; }
  // Whether any member of `zone` is suspect.
  bool HasSuspects(const AvailabilityZone& zone) const;
  // After signs of a fault.
  bool HasFault(TimePoint now) const { return now < m_fault_until; }
  // A zone of which many members were declared dead is returning.
  bool IsMerging(TimePoint now) const { return now < m_merging_until; }

 private:
  struct Count {
    std::size_t live = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
  };

  static bool IsFault(const Count& count, std::size_t faulty);

  AvailabilityZone m_zone;
  bool m_is_enabled;
  // As of the last update.
  std::map<AvailabilityZone, Count> m_counts;
  std::set<AvailabilityZone> m_others;
  TimePoint m_fault_until;
  TimePoint m_merging_until;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_ZONE_PREFERENCE_H_
