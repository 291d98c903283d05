// Part of `fleet_view.h`.

#include "core/workspace_limits/fleet_view.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/workspace_limits/workspace_limits_settings.h"

namespace bulrushmount::detail {

namespace {

// How long a member declared dead counts as one that may still admit calls on
// another side of a partition. A partition that lasts longer could admit the
// limit once for each side.
constexpr Duration kDeadMemory = std::chrono::minutes(10);

// A node that receives nothing from any member for this long is isolated: three
// heartbeat periods, in each of which it sends one heartbeat and usually
// receives one.
constexpr Duration kIsolationTime = std::chrono::milliseconds(1500);

// Random members that are drawn until one is neither this node nor the
// receiver.
constexpr int kRelayTries = 4;

// A node that still knows no other member after this time is taken to be the
// only one left.
constexpr Duration kMaxWaitForPeers = std::chrono::seconds(30);

// Longer than the suspicion time plus the spread of news over the fleet, so
// that the other side of a healed partition has lowered its share.
constexpr Duration kScaleRiseDelay = std::chrono::seconds(3);

}  // namespace

FleetView::FleetView(const Peer& self, TimePoint now)
    : m_self(self),
      m_members({self}),
      m_started_at(now),
      m_authority_since(now),
      m_last_event(now),
      m_last_contact(now),
      m_reported_until(now) {}

void FleetView::SetMembers(TimePoint now,
                           const std::vector<FleetMember>& live,
                           const std::vector<Peer>& dead) {
  if (m_members.size() == 1)
    m_last_contact = now;
  m_suspects = 0;
  std::vector<Peer> members = {m_self};
  std::unordered_map<NodeId, std::uint64_t> seen;
  for (const FleetMember& member : SelectProcesses(live)) {
    if (member.is_suspect)
      ++m_suspects;
    members.push_back(member.peer);
  }
  for (const FleetMember& member : live) {
    const auto known = m_seen.find(member.peer.id);
    seen[member.peer.id] =
        known == m_seen.end() ? m_next_seen++ : known->second;
  }
  m_seen = std::move(seen);

  std::unordered_set<NodeId> present;
  for (const Peer& member : members)
    present.insert(member.id);
  std::unordered_set<NodeId> dead_ids;
  for (const Peer& member : dead) {
    dead_ids.insert(member.id);
    if (!present.contains(member.id))
      AddDeparted(now, member, /*is_dead=*/true);
  }
  for (const Peer& member : m_members) {
    if (!present.contains(member.id) && !dead_ids.contains(member.id))
      AddDeparted(now, member, /*is_dead=*/false);
  }
  std::erase_if(m_departed, [&](const Departed& departed) {
    return present.contains(departed.peer.id) ||
           now - departed.since >= kDeadMemory;
  });
  m_members = std::move(members);
  if (m_members.size() > 1)
    m_is_expecting_peers = false;
}

bool FleetView::IsAwaitingPeers(TimePoint now) const {
  return m_is_expecting_peers && now - m_started_at < kMaxWaitForPeers;
}

std::vector<FleetMember> FleetView::SelectProcesses(
    const std::vector<FleetMember>& live) const {
  // Those that are not in `m_seen` are the newest.
  const auto rank = [this](const FleetMember& member) {
    const auto known = m_seen.find(member.peer.id);
    const std::uint64_t seen =
        known == m_seen.end() ? m_next_seen : known->second;
    return std::pair(!member.is_suspect, seen);
  };
  std::vector<FleetMember> selected;
  std::unordered_map<Endpoint, std::size_t> by_address;
  for (const FleetMember& member : live) {
    if (member.peer.gossip == m_self.gossip)
      continue;
    const auto [found, is_new] =
        by_address.try_emplace(member.peer.gossip, selected.size());
    if (is_new)
      selected.push_back(member);
    else if (rank(member) > rank(selected[found->second]))
      selected[found->second] = member;
  }
  return selected;
}

void FleetView::AddDeparted(TimePoint now, const Peer& peer, bool is_dead) {
  const auto found = std::find_if(
      m_departed.begin(), m_departed.end(),
      [&](const Departed& departed) { return departed.peer.id == peer.id; });
  if (found != m_departed.end()) {
    found->is_dead = found->is_dead || is_dead;
    return;
  }
  m_departed.push_back({peer, now, is_dead});
  if (!is_dead && m_reported_members > 0)
    --m_reported_members;
}

void FleetView::OnPeerContact(TimePoint now) {
  m_last_contact = now;
}

bool FleetView::CheckAuthority(TimePoint now) {
  // A node that knows no other member may have no events for long.
  const bool was_paused =
      m_members.size() > 1 && now - m_last_event > kPauseThreshold;
  if (was_paused) {
    // Datagrams that arrived during the pause have not been read yet.
    m_last_contact = now;
  }
  m_last_event = now;
  const bool was_isolated = m_was_isolated;
  m_was_isolated = IsIsolated(now);
  const bool has_lost = was_paused || (was_isolated && !m_was_isolated);
  if (has_lost)
    m_authority_since = now;
  return has_lost;
}

bool FleetView::IsIsolated(TimePoint now) const {
  return m_members.size() > 1 && now - m_last_contact > kIsolationTime;
}

const Peer* FleetView::Find(NodeId id) const {
  const auto found =
      std::find_if(m_members.begin(), m_members.end(),
                   [&](const Peer& member) { return member.id == id; });
  return found == m_members.end() ? nullptr : &*found;
}

HomeAndDeputy FleetView::Find(WorkspaceKey workspace) const {
  HomeAndDeputy best;
  std::uint64_t home_score = 0;
  std::uint64_t deputy_score = 0;
  for (const Peer& member : m_members) {
    const std::uint64_t score = RendezvousScore(workspace.value(), member.id);
    if (best.home == nullptr || score > home_score) {
      best.deputy = best.home;
      deputy_score = home_score;
      best.home = &member;
      home_score = score;
    } else if (best.deputy == nullptr || score > deputy_score) {
      best.deputy = &member;
      deputy_score = score;
    }
  }
  return best;
}

const Peer* FleetView::FindRelay(RandomSource& random, NodeId excluded) const {
  for (int attempt = 0; attempt < kRelayTries; ++attempt) {
    const Peer& member = m_members[random.Index(m_members.size())];
    if (member.id != m_self.id && member.id != excluded)
      return &member;
  }
  return nullptr;
}

TimePoint FleetView::RankSince(WorkspaceKey workspace) const {
  const std::uint64_t own = RendezvousScore(workspace.value(), m_self.id);
  TimePoint since = m_authority_since;
  for (const Departed& departed : m_departed) {
    if (RendezvousScore(workspace.value(), departed.peer.id) > own)
      since = std::max(since, departed.since);
  }
  return since;
}

std::size_t FleetView::KnownMembers(TimePoint now) {
  std::unordered_set<Endpoint> addresses;
  for (const Peer& member : m_members)
    addresses.insert(member.gossip);
  for (const Departed& departed : m_departed) {
    if (departed.is_dead && now - departed.since < kDeadMemory)
      addresses.insert(departed.peer.gossip);
  }
  if (now < m_reported_until)
    return std::max(addresses.size(), m_reported_members);
  return addresses.size();
}

double FleetView::TargetScale(TimePoint now) {
  const std::size_t reachable =
      IsIsolated(now) ? 1 : m_members.size() - m_suspects;
  return static_cast<double>(reachable) /
         static_cast<double>(KnownMembers(now));
}

double FleetView::Scale(TimePoint now) {
  const double target = TargetScale(now);
  if (target <= m_scale) {
    m_scale = target;
    m_could_rise_since.reset();
    return m_scale;
  }
  if (!m_could_rise_since)
    m_could_rise_since = now;
  if (now - *m_could_rise_since >= kScaleRiseDelay) {
    m_scale = target;
    m_could_rise_since.reset();
  }
  return m_scale;
}

void FleetView::AdoptScale(TimePoint now,
                           double scale,
                           std::size_t known_members) {
  m_reported_members =
      std::max(known_members,
               now < m_reported_until ? m_reported_members : std::size_t{0});
  m_reported_until = now + kDeadMemory;
  m_scale = std::max(m_scale, std::min(scale, 1.0));
}

}  // namespace bulrushmount::detail
