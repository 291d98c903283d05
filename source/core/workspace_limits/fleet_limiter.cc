// Part of `fleet_limiter.h`.

#include "core/workspace_limits/fleet_limiter.h"

#include <algorithm>
#include <chrono>

namespace bulrushmount {

namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);

// While this node has peers, it handles an event at least this often, so that a
// pause of the process is noticed. Heartbeats already cause that many wakeups.
constexpr Duration kIdlePeriod = std::chrono::milliseconds(500);

// How long a home that was reached only through another member is asked through
// it before the direct link is tried again.
constexpr Duration kRelayTime = std::chrono::seconds(2);

}  // namespace

FleetLimiter::FleetLimiter(const WorkspaceLimitsSettings& settings,
                           const Peer& self,
                           RandomSource& random,
                           DatagramPort& datagrams,
                           TimePoint now)
    : m_settings(settings),
      m_random(random),
      m_datagrams(datagrams),
      m_view(self, now),
      m_home(m_settings, m_rates, m_view, *this),
      m_event_time(now) {}

UnitDecision FleetLimiter::Admit(TimePoint now,
                                 CallId call,
                                 const WorkspaceName& workspace) {
  if (m_rates.empty())
    return {};
  const WorkspaceKey key = KeyOf(workspace);
  if (!m_rates.Find(key))
    return {};
  Begin(now);
  Entry& entry = FindOrCreate(now, workspace, key);
  const UnitDecision decision = entry.account.Admit(now, call);
  UpdateBusy(entry);
  Finish(now);
  return decision;
}

void FleetLimiter::Withdraw(CallId call, const WorkspaceName& workspace) {
  const auto found = m_entries.find(KeyOf(workspace));
  if (found == m_entries.end())
    return;
  found->second->account.Withdraw(call);
  UpdateBusy(*found->second);
}

void FleetLimiter::GiveBack(TimePoint now,
                            const WorkspaceName& workspace,
                            const UnitLease& lease) {
  const auto found = m_entries.find(KeyOf(workspace));
  if (found == m_entries.end())
    return;
  Begin(now);
  found->second->account.GiveBack(now, lease);
  UpdateBusy(*found->second);
  Finish(now);
}

void FleetLimiter::TakeOwed(TimePoint now, const WorkspaceName& workspace) {
  const WorkspaceKey key = KeyOf(workspace);
  if (!m_rates.Find(key))
    return;
  Begin(now);
  Entry& entry = FindOrCreate(now, workspace, key);
  entry.account.TakeOwed(now);
  UpdateBusy(entry);
  Finish(now);
}

void FleetLimiter::SetLimits(TimePoint now, std::vector<NamedRate> rates) {
  Begin(now);
  m_rates.Replace(std::move(rates), m_settings.window);
  m_home.OnRatesChanged(now);
  std::erase_if(m_dropped, [this](const auto& item) {
    return m_rates.Find(item.first) == nullptr;
  });
  Finish(now);
}

void FleetLimiter::SetMembers(TimePoint now,
                              const std::vector<FleetMember>& live,
                              const std::vector<Peer>& dead) {
  Begin(now);
  m_view.SetMembers(now, live, dead);
  m_home.OnMembersChanged(now);
  for (auto& [key, entry] : m_entries) {
    const detail::HomeAndDeputy place = m_view.Find(key);
    const NodeId deputy = place.deputy ? place.deputy->id : NodeId();
    const bool is_same_home = entry->home == place.home->id;
    entry->home = place.home->id;
    entry->deputy = deputy;
    if (is_same_home)
      continue;
    entry->account.OnHomeChanged(now);
    UpdateBusy(*entry);
  }
  Finish(now);
}

void FleetLimiter::OnPeerContact(TimePoint now) {
  m_view.OnPeerContact(now);
  Begin(now);
}

void FleetLimiter::OnDatagram(TimePoint now,
                              const Endpoint& from,
                              std::string_view bytes) {
  const std::optional<WorkspaceLimitsDatagram> datagram =
      DecodeWorkspaceLimits(bytes);
  if (!datagram)
    return;
  m_view.OnPeerContact(now);
  Begin(now);
  const bool is_forwarded = datagram->destination != NodeId();
  if (is_forwarded && datagram->destination != m_view.self().id) {
    Forward(*datagram);
    Finish(now);
    return;
  }
  const detail::Requester requester{datagram->sender, from, is_forwarded};
  for (const UnitRequest& request : datagram->requests)
    m_home.OnRequest(now, requester, request);
  for (const TakeoverRequest& request : datagram->takeovers)
    m_home.OnTakeoverRequest(now, requester, request);
  for (const TakeoverResponse& response : datagram->takeover_responses)
    m_home.OnTakeoverResponse(now, response);
  for (const UnitResponse& response : datagram->responses) {
    const auto found = m_entries.find(response.workspace);
    if (found == m_entries.end())
      continue;
    Entry& entry = *found->second;
    if (!response.is_from_reserve) {
      if (is_forwarded) {
        m_last_relay = datagram->sender;
        m_relays[entry.home] = {datagram->sender, now + kRelayTime};
      } else {
        m_relays.erase(entry.home);
      }
    }
    entry.account.OnResponse(now, response);
    UpdateBusy(entry);
  }
  Finish(now);
}

void FleetLimiter::OnTimer(TimePoint now) {
  Begin(now);
  while (!m_wakeups.empty() && m_wakeups.begin()->first <= now) {
    Entry& entry = *m_entries.at(m_wakeups.begin()->second);
    entry.account.OnTimer(now);
    UpdateBusy(entry);
  }
  m_home.OnTimer(now);
  if (now >= m_next_sweep)
    DropUnused(now);
  Finish(now);
}

TimePoint FleetLimiter::NextWakeup() const {
  TimePoint next = std::min(m_next_sweep, m_home.NextWakeup());
  if (!m_wakeups.empty())
    next = std::min(next, m_wakeups.begin()->first);
  if (m_view.size() > 1 && !m_rates.empty())
    next = std::min(next, m_event_time + kIdlePeriod);
  return next;
}

std::vector<WorkspaceCounters> FleetLimiter::Counters() const {
  std::vector<WorkspaceCounters> all;
  all.reserve(m_entries.size() + m_dropped.size());
  for (const auto& [key, entry] : m_entries)
    all.push_back({entry->workspace, entry->account.counters()});
  for (const auto& [key, counters] : m_dropped) {
    if (const detail::ActiveRate* const active = m_rates.Find(key))
      all.push_back({active->workspace, counters});
  }
  return all;
}

void FleetLimiter::Respond(const detail::Requester& to,
                           const UnitResponse& response) {
  if (to.node == m_view.self().id) {
    m_local_responses.push_back(response);
    return;
  }
  const NodeId destination = to.is_forwarded ? to.node : NodeId();
  m_outbox[{to.from, destination}].responses.push_back(response);
}

void FleetLimiter::Respond(const detail::Requester& to,
                           const TakeoverResponse& response) {
  m_outbox[{to.from, NodeId()}].takeover_responses.push_back(response);
}

void FleetLimiter::AskTakeover(const Peer& deputy,
                               const TakeoverRequest& request) {
  m_outbox[{deputy.gossip, NodeId()}].takeovers.push_back(request);
}

UnitRequestNumber FleetLimiter::TakeNumber() {
  return UnitRequestNumber(m_next_number++);
}

void FleetLimiter::SendToHome(const UnitRequest& request) {
  const Entry& entry = *m_entries.at(request.workspace);
  if (entry.home == m_view.self().id) {
    m_local_requests.push_back(request);
    return;
  }
  const Peer* const home = m_view.Find(entry.home);
  if (!home)
    return;
  const auto known = m_relays.find(entry.home);
  if (known != m_relays.end() && m_event_time < known->second.until) {
    const Peer* const relay = m_view.Find(known->second.relay);
    if (relay) {
      SendThrough(*relay, *home, request);
      return;
    }
  }
  m_outbox[{home->gossip, NodeId()}].requests.push_back(request);
}

void FleetLimiter::SendToHomeByRelays(const UnitRequest& request) {
  const Entry& entry = *m_entries.at(request.workspace);
  const Peer* const home = m_view.Find(entry.home);
  if (!home || entry.home == m_view.self().id)
    return;
  const Peer* const last = m_last_relay ? m_view.Find(*m_last_relay) : nullptr;
  if (last && last->id != entry.home)
    SendThrough(*last, *home, request);
  const Peer* const random = m_view.FindRelay(m_random, entry.home);
  if (random && random != last)
    SendThrough(*random, *home, request);
}

void FleetLimiter::SendThrough(const Peer& relay,
                               const Peer& home,
                               const UnitRequest& request) {
  m_outbox[{relay.gossip, home.id}].requests.push_back(request);
}

void FleetLimiter::SendToDeputy(const UnitRequest& request) {
  const Entry& entry = *m_entries.at(request.workspace);
  if (entry.deputy == m_view.self().id) {
    m_local_requests.push_back(request);
    return;
  }
  const Peer* const deputy = m_view.Find(entry.deputy);
  if (deputy)
    m_outbox[{deputy->gossip, NodeId()}].requests.push_back(request);
}

void FleetLimiter::Decide(CallId call, const UnitDecision& decision) {
  m_decisions.emplace_back(call, decision);
}

double FleetLimiter::LocalUnitsPerSecond(WorkspaceKey workspace) {
  const detail::ActiveRate* const active = m_rates.Find(workspace);
  if (!active || m_view.IsAwaitingPeers(m_event_time))
    return 0;
  return active->rate.units_per_second /
         static_cast<double>(m_view.KnownMembers(m_event_time));
}

FleetLimiter::Entry& FleetLimiter::FindOrCreate(TimePoint now,
                                                const WorkspaceName& workspace,
                                                WorkspaceKey key) {
  std::unique_ptr<Entry>& entry = m_entries[key];
  if (!entry) {
    const detail::HomeAndDeputy place = m_view.Find(key);
    const auto dropped = m_dropped.extract(key);
    const UnitCounters counters =
        dropped.empty() ? UnitCounters() : dropped.mapped();
    entry = std::make_unique<Entry>(Entry{
        workspace, Account(key, m_settings, m_random, *this, counters, now),
        place.home->id, place.deputy ? place.deputy->id : NodeId()});
    m_next_sweep = std::min(m_next_sweep, now + kSweepPeriod);
  }
  return *entry;
}

void FleetLimiter::Begin(TimePoint now) {
  m_event_time = now;
  if (m_view.CheckAuthority(now))
    m_home.OnAuthorityLost(now);
}

// A decision may cause further calls of this object, whose messages are then
// sent by the outermost call.
void FleetLimiter::Finish(TimePoint now) {
  if (m_is_finishing)
    return;
  m_is_finishing = true;
  while (!m_local_requests.empty() || !m_local_responses.empty() ||
         !m_decisions.empty()) {
    const detail::Requester requester{m_view.self().id, m_view.self().gossip};
    for (const UnitRequest& request : std::exchange(m_local_requests, {}))
      m_home.OnRequest(now, requester, request);
    for (const UnitResponse& response : std::exchange(m_local_responses, {})) {
      const auto found = m_entries.find(response.workspace);
      if (found == m_entries.end())
        continue;
      found->second->account.OnResponse(now, response);
      UpdateBusy(*found->second);
    }
    for (const auto& [call, decision] : std::exchange(m_decisions, {})) {
      if (m_listener)
        m_listener->OnUnitDecision(now, call, decision);
    }
  }
  m_is_finishing = false;
  for (auto& [to, datagram] : std::exchange(m_outbox, {})) {
    const auto& [endpoint, destination] = to;
    datagram.destination = destination;
    // A receiver of responses needs no sender, unless they are forwarded.
    const bool has_requests =
        !datagram.requests.empty() || !datagram.takeovers.empty();
    if (has_requests)
      datagram.sender = m_view.self().id;
    for (std::string& payload : EncodeWorkspaceLimits(datagram))
      m_datagrams.Send(endpoint, DatagramKind::kWorkspaceLimits,
                       std::move(payload));
  }
}

// The receiver of forwarded responses learns from their sender which member
// forwards; the home learns from the sender of requests who sent them.
void FleetLimiter::Forward(const WorkspaceLimitsDatagram& datagram) {
  const Peer* const receiver = m_view.Find(datagram.destination);
  if (!receiver)
    return;
  WorkspaceLimitsDatagram forwarded = datagram;
  if (!forwarded.responses.empty())
    forwarded.sender = m_view.self().id;
  for (std::string& payload : EncodeWorkspaceLimits(forwarded))
    m_datagrams.Send(receiver->gossip, DatagramKind::kWorkspaceLimits,
                     std::move(payload));
}

void FleetLimiter::UpdateBusy(Entry& entry) {
  const WorkspaceKey key = entry.account.workspace();
  const TimePoint next = entry.account.NextWakeup();
  const auto known = m_wakeup_of.find(key);
  if (known != m_wakeup_of.end()) {
    if (known->second == next)
      return;
    m_wakeups.erase({known->second, key});
    m_wakeup_of.erase(known);
  }
  if (next == TimePoint::max())
    return;
  m_wakeups.emplace(next, key);
  m_wakeup_of.emplace(key, next);
}

void FleetLimiter::DropUnused(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Account& account = item.second->account;
    const bool is_unused = account.IsUnused(now);
    if (is_unused && m_rates.Find(item.first))
      m_dropped.emplace(item.first, account.counters());
    return is_unused;
  });
  std::erase_if(m_relays,
                [&](const auto& item) { return now >= item.second.until; });
  m_next_sweep = m_entries.empty() ? TimePoint::max() : now + kSweepPeriod;
}

}  // namespace bulrushmount
