// Part of `workspace_limiter.h`.

#include "core/limits/workspace_limiter.h"

#include <algorithm>
#include <map>

#include "core/limits/limits_codec.h"

namespace bulrushmount {

namespace {

// While no workspace is active here, the timer only maintains the accounts lent
// to other entries.
constexpr Duration kIdlePeriod = std::chrono::seconds(5);

bool Contains(const std::vector<Peer>& members, NodeId id) {
  return std::any_of(members.begin(), members.end(),
                     [&](const Peer& member) { return member.id == id; });
}

}  // namespace

WorkspaceLimiter::WorkspaceLimiter(const LimitsSettings& settings,
                                   const Peer& self,
                                   DatagramPort& datagrams,
                                   TimePoint now)
    : m_settings(settings),
      m_self(self),
      m_datagrams(datagrams),
      m_home(settings, now),
      m_members({self}) {}

Reason WorkspaceLimiter::TryAdmit(TimePoint now,
                                  const WorkspaceName& workspace,
                                  double units) {
  const auto found = m_entries.find(workspace);
  if (found == m_entries.end() || found->second->is_removed)
    return Reason::kUnknownWorkspace;
  Entry& entry = *found->second;
  const Reason reason = entry.account.TryAdmit(now, units);
  if (!entry.is_active)
    Activate(now, entry);
  return reason;
}

void WorkspaceLimiter::OnCallEnded(TimePoint now,
                                   const WorkspaceName& workspace) {
  const auto found = m_entries.find(workspace);
  if (found == m_entries.end())
    return;
  Entry& entry = *found->second;
  entry.account.OnCallEnded();
  if (!entry.is_removed || entry.account.in_flight() > 0)
    return;
  std::erase(m_active, &entry);
  m_by_key.erase(entry.account.key());
  m_entries.erase(found);
}

void WorkspaceLimiter::SetLimits(TimePoint now,
                                 const WorkspaceName& workspace,
                                 const WorkspaceLimits& limits) {
  const WorkspaceKey key = KeyOf(workspace);
  m_home.SetLimits(now, key, limits);
  std::unique_ptr<Entry>& entry = m_entries[workspace];
  if (entry == nullptr) {
    entry = std::make_unique<Entry>(
        Account(m_settings, key, limits, m_members.size(), now));
    m_by_key[key] = entry.get();
  }
  entry->is_removed = false;
  entry->account.Reconfigure(now, limits, m_members.size());
}

void WorkspaceLimiter::RemoveWorkspace(TimePoint now,
                                       const WorkspaceName& workspace) {
  const auto found = m_entries.find(workspace);
  if (found == m_entries.end())
    return;
  Entry& entry = *found->second;
  m_home.RemoveWorkspace(entry.account.key());
  entry.is_removed = true;
  if (entry.account.in_flight() > 0)
    return;
  std::erase(m_active, &entry);
  m_by_key.erase(entry.account.key());
  m_entries.erase(found);
}

void WorkspaceLimiter::SetMembers(TimePoint now, std::vector<Peer> members) {
  if (!Contains(members, m_self.id))
    members.push_back(m_self);
  const bool has_departure = HasDeparture(m_members, members);
  m_members = std::move(members);
  m_home.OnMembersChanged(
      now, m_members.size(), has_departure,
      [this](WorkspaceKey workspace) { return IsHome(workspace); });
  for (const auto& [workspace, entry] : m_entries) {
    const auto limits = m_home.LimitsOf(entry->account.key());
    if (limits)
      entry->account.Reconfigure(now, *limits, m_members.size());
  }
  for (Entry* entry : m_active) {
    const WorkspaceKey key = entry->account.key();
    entry->account.SetHome(now, *RendezvousHome(m_members, key.value()));
  }
  ScheduleWakeup(now);
}

void WorkspaceLimiter::OnDatagram(TimePoint now,
                                  const Endpoint& from,
                                  std::string_view bytes) {
  const std::optional<LimitsDatagram> datagram = DecodeLimits(bytes);
  if (!datagram)
    return;
  for (const Allotment& allotment : datagram->allotments) {
    const auto found = m_by_key.find(allotment.workspace);
    if (found != m_by_key.end())
      found->second->account.Apply(now, allotment);
  }
  // The sender is left out: only requests need it.
  LimitsDatagram answer;
  for (const AllotmentRequest& request : datagram->requests) {
    // An entry with a different member list sends the request to the wrong
    // node. It gets no answer and uses its allowance until the member lists
    // agree.
    if (!IsHome(request.workspace))
      continue;
    const auto allotment = m_home.OnRequest(now, datagram->sender, request);
    if (allotment)
      answer.allotments.push_back(*allotment);
  }
  for (std::string& payload : EncodeLimits(answer))
    m_datagrams.Send(from, DatagramKind::kLimits, std::move(payload));
  ScheduleWakeup(now);
}

void WorkspaceLimiter::OnTimer(TimePoint now) {
  if (now < m_next_wakeup)
    return;
  DropInactive(now);
  std::vector<Account*> due;
  const Duration interval = Interval();
  const Duration starved_interval = StarvedInterval();
  m_starved = 0;
  for (Entry* entry : m_active) {
    if (entry->account.IsStarved())
      ++m_starved;
    if (entry->account.IsDue(now, interval, starved_interval))
      due.push_back(&entry->account);
  }
  SendRequests(now, due);
  m_home.OnTimer(now);
  m_next_wakeup = TimePoint::max();
  ScheduleWakeup(now);
}

void WorkspaceLimiter::Activate(TimePoint now, Entry& entry) {
  const WorkspaceKey key = entry.account.key();
  entry.account.SetHome(now, *RendezvousHome(m_members, key.value()));
  entry.is_active = true;
  m_active.push_back(&entry);
  SendRequests(now, {&entry.account});
  ScheduleWakeup(now);
}

void WorkspaceLimiter::DropInactive(TimePoint now) {
  std::erase_if(m_active, [&](Entry* entry) {
    entry->is_active = entry->account.IsActive(now);
    if (!entry->is_active && entry->account.HasLoan(now))
      Release(now, entry->account);
    return !entry->is_active;
  });
}

Duration WorkspaceLimiter::Interval() const {
  const double seconds =
      static_cast<double>(m_active.size()) / m_settings.requests_per_second;
  return std::clamp(FromSeconds(seconds), m_settings.min_interval,
                    MaxInterval(m_settings, m_members.size()));
}

Duration WorkspaceLimiter::StarvedInterval() const {
  const double seconds =
      static_cast<double>(m_starved) / m_settings.requests_per_second;
  return std::clamp(FromSeconds(seconds), m_settings.min_interval,
                    MaxInterval(m_settings, m_members.size()));
}

void WorkspaceLimiter::SendRequests(TimePoint now,
                                    const std::vector<Account*>& due) {
  std::map<Endpoint, LimitsDatagram> by_home;
  for (Account* account : due) {
    const AllotmentRequest request = account->MakeRequest(
        now, Interval(), RequestNumber(m_next_number++), m_next_session);
    if (account->home().id == m_self.id) {
      const auto allotment = m_home.OnRequest(now, m_self.id, request);
      if (allotment)
        account->Apply(now, *allotment);
      continue;
    }
    by_home[account->home().gossip].requests.push_back(request);
  }
  for (auto& [home, datagram] : by_home) {
    datagram.sender = m_self.id;
    for (std::string& payload : EncodeLimits(datagram))
      m_datagrams.Send(home, DatagramKind::kLimits, std::move(payload));
  }
}

void WorkspaceLimiter::Release(TimePoint now, Account& account) {
  LimitsDatagram datagram;
  datagram.sender = m_self.id;
  datagram.requests = {
      account.MakeRelease(now, RequestNumber(m_next_number++))};
  if (account.home().id == m_self.id) {
    m_home.OnRequest(now, m_self.id, datagram.requests.front());
    return;
  }
  for (std::string& payload : EncodeLimits(datagram)) {
    m_datagrams.Send(account.home().gossip, DatagramKind::kLimits,
                     std::move(payload));
  }
}

void WorkspaceLimiter::ScheduleWakeup(TimePoint now) {
  if (!m_active.empty())
    m_next_wakeup = std::min(m_next_wakeup, now + m_settings.min_interval / 2);
  else if (m_home.AccountCount() > 0)
    m_next_wakeup = std::min(m_next_wakeup, now + kIdlePeriod);
}

bool WorkspaceLimiter::IsHome(WorkspaceKey workspace) const {
  return RendezvousHome(m_members, workspace.value())->id == m_self.id;
}

}  // namespace bulrushmount
