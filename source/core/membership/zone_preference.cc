// Part of `zone_preference.h`.

#include "core/membership/zone_preference.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

ZonePreference::ZonePreference(AvailabilityZone zone, bool is_enabled)
    : m_zone(std::move(zone)), m_is_enabled(is_enabled) {}

bool ZonePreference::Update(TimePoint now, const MemberTable& table) {
  if (!m_is_enabled || m_zone.value().empty())
    return false;
  m_counts.clear();
  for (const Member* member : table.Live()) {
    Count& count = m_counts[member->zone];
    ++count.live;
    count.suspect += member->state == MemberState::kSuspect ? 1 : 0;
  }
  for (const Member* member : table.Dead())
    ++m_counts[member->zone].dead;
  std::set<AvailabilityZone> others;
  for (const auto& [zone, count] : m_counts) {
    if (zone == m_zone || zone.value().empty())
      continue;
    if (IsFault(count, count.suspect))
      m_fault_until = now + kFaultTime;
    if (count.live >= kMinMembers)
      others.insert(zone);
  }
  if (HasFault(now) || m_counts[m_zone].live < kMinMembers)
    others.clear();
  const bool has_changed = others != m_others;
  m_others = std::move(others);
  return has_changed;
}

void ZonePreference::OnRevived(TimePoint now, const Member& member) {
  if (!m_is_enabled || m_zone.value().empty() || member.zone == m_zone)
    return;
  const auto count = m_counts.find(member.zone);
  if (count == m_counts.end() || !IsFault(count->second, count->second.dead))
    return;
  m_fault_until = now + kFaultTime;
  m_merging_until = now + kMergeTime;
}

bool ZonePreference::HasSuspects(const AvailabilityZone& zone) const {
  const auto count = m_counts.find(zone);
  return count != m_counts.end() && count->second.suspect > 0;
}

bool ZonePreference::IsFault(const Count& count, std::size_t faulty) {
  return faulty >=
         std::max(kMinFaulty, (count.live + count.dead) / kFaultyDivisor);
}

}  // namespace bulrushmount
