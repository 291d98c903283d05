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
  if (!IsChosen(members)) {
    m_chosen_since.reset();
    return;
  }
  const bool has_grown =
      static_cast<double>(members.size()) >
      static_cast<double>(m_members_then) * m_settings.notable_growth;
  if (m_chosen_since && (!has_grown || HasSettled(now)))
    return;
  m_chosen_since = now;
  m_members_then = members.size();
}

// The members of the lowest ids in the own zone. Ids are random, so that they
// are spread over the machines.
bool WatchDuty::IsChosen(const std::vector<WatchCandidate>& members) const {
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
      (m_settings.least_watchers + zones.size() - 1) / zones.size();
  return before < std::max(m_settings.watchers_a_zone, fair_share);
}

bool WatchDuty::HasSettled(TimePoint now) const {
  return m_chosen_since && now - *m_chosen_since >= m_settings.settling_time;
}

bool WatchDuty::IsOnDuty(TimePoint now) const {
  return HasSettled(now) || now - m_last_contact >= m_settings.longest_silence;
}

TimePoint WatchDuty::NextChange(TimePoint now) const {
  if (IsOnDuty(now))
    return TimePoint::max();
  const TimePoint silent_at = m_last_contact + m_settings.longest_silence;
  if (!m_chosen_since)
    return silent_at;
  return std::min(silent_at, *m_chosen_since + m_settings.settling_time);
}

}  // namespace bulrushmount
