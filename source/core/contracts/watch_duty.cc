// Part of `watch_duty.h`.

#include "core/contracts/watch_duty.h"

#include <algorithm>
#include <set>

namespace bulrushmount {

WatchDuty::WatchDuty(const WatchDutySettings& settings,
                     NodeId self,
                     TimePoint now)
    : m_settings(settings), m_self(self), m_last_contact(now) {}

void WatchDuty::SetMembers(TimePoint now,
                           const std::vector<WatchCandidate>& members) {
  if (!IsSelected(members)) {
    m_selected_since.reset();
    return;
  }
  const bool has_grown = static_cast<double>(members.size()) >
                         static_cast<double>(m_members_when_selected) *
                             m_settings.membership_growth_factor;
  if (m_selected_since && (!has_grown || HasSettled(now)))
    return;
  m_selected_since = now;
  m_members_when_selected = members.size();
}

// Selects the members with the lowest ids in this node's zone. Ids are random,
// so the watchers are distributed evenly over the machines.
bool WatchDuty::IsSelected(const std::vector<WatchCandidate>& members) const {
  const auto self =
      std::find_if(members.begin(), members.end(),
                   [this](const auto& one) { return one.node == m_self; });
  if (self == members.end())
    return false;
  std::set<AvailabilityZone> zones;
  std::size_t before = 0;
  for (const WatchCandidate& member : members) {
    zones.insert(member.zone);
    if (member.zone == self->zone && member.node < m_self)
      ++before;
  }
  const std::size_t fair_share =
      (m_settings.min_watchers + zones.size() - 1) / zones.size();
  return before < std::max(m_settings.watchers_per_zone, fair_share);
}

bool WatchDuty::HasSettled(TimePoint now) const {
  return m_selected_since &&
         now - *m_selected_since >= m_settings.settling_time;
}

bool WatchDuty::IsOnDuty(TimePoint now) const {
  return HasSettled(now) || now - m_last_contact >= m_settings.max_peer_silence;
}

TimePoint WatchDuty::NextChange(TimePoint now) const {
  if (IsOnDuty(now))
    return TimePoint::max();
  const TimePoint silent_at = m_last_contact + m_settings.max_peer_silence;
  if (!m_selected_since)
    return silent_at;
  return std::min(silent_at, *m_selected_since + m_settings.settling_time);
}

}  // namespace bulrushmount
