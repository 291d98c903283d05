// Part of `membership.h`: construction, timers, pauses and this node's own
// record. The rest of the protocol is in failure_detection.cc, dissemination.cc
// and anti_entropy.cc.

#include "core/membership/membership.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"
#include "core/membership/gossip_codec.h"

namespace bulrushmount {

namespace {

constexpr std::size_t kMaxSeeds = 64;
constexpr Duration kMinSeedBackoff = std::chrono::milliseconds(250);

// Each round of departure notices goes directly to this many members.
constexpr int kDepartureFanout = 6;
constexpr int kDepartureRounds = 3;

// Increase of the local health score after a pause, so that the node does not
// suspect others too early.
constexpr int kPausePenalty = 3;
constexpr int kResumeFanout = 3;

// Budget of sync reply datagrams: refilled by the step at each heartbeat, up to
// the burst.
constexpr std::size_t kSyncCreditStep = 4;
constexpr std::size_t kSyncCreditBurst = 8;

Member WithInitialIncarnation(Member self) {
  self.incarnation = std::max(self.incarnation, Incarnation(1));
  self.state = MemberState::kAlive;
  return self;
}

}  // namespace

Membership::Membership(const MembershipSettings& settings,
                       Member self,
                       RandomSource& random,
                       DatagramPort& port,
                       TimePoint now)
    : m_settings(settings),
      m_self_id(self.id),
      m_random(random),
      m_port(port),
      m_budget(settings.bytes_per_second, settings.bytes_burst, now),
      m_schedule(self.id, self.region, settings.far_heartbeat_interval),
      m_zones(self.zone, settings.other_zone_interval > 0),
      m_newest_revision(self.revision),
      m_sync_credit(kSyncCreditBurst),
      m_next_sync(now + settings.fast_sync_period),
      m_next_dead_ping(now + settings.dead_ping_period),
      m_next_seed_try(now),
      m_seed_backoff(kMinSeedBackoff) {
  // The first heartbeat is jittered, so that nodes that start together do not
  // send heartbeats in step.
  m_next_heartbeat = now + FromSeconds(ToSeconds(settings.heartbeat_period) *
                                       random.Fraction());
  m_table.Apply(now, WithInitialIncarnation(std::move(self)));
  m_news.Push(m_self_id);
}

void Membership::OnTimer(TimePoint now) {
  NoticePause(now, true);
  m_budget.Refill(now);
  CheckProbes(now);
  CheckRelays(now);
  CheckSuspicions(now);
  if (now >= m_next_heartbeat) {
    Heartbeat(now);
  }
  if (now >= m_next_dead_ping) {
    PingDead(now);
  }
  if (now >= m_next_sync) {
    StartSync(now);
  }
  if (!HasPeers() && !m_seeds.empty() && now >= m_next_seed_try) {
    TrySeeds(now);
  }
}

TimePoint Membership::NextWakeup() const {
  TimePoint next = std::min({m_next_heartbeat, m_next_sync, m_next_dead_ping});
  if (!HasPeers() && !m_seeds.empty()) {
    next = std::min(next, m_next_seed_try);
  }
  for (const auto& [sequence, probe] : m_probes) {
    next =
        std::min(next, probe.has_sent_ping_requests ? probe.give_up_at
                                                    : probe.ping_requests_at);
  }
  for (const auto& [sequence, relay] : m_relays) {
    next = std::min(next, relay.give_up_at);
  }
  for (const auto& [id, suspicion] : m_suspicions) {
    next = std::min(next, suspicion.due);
    if (suspicion.is_initiator) {
      next = std::min(next, suspicion.next_ping);
    }
  }
  return next;
}

void Membership::OnDatagram(TimePoint now,
                            const Endpoint& from,
                            std::string_view payload) {
  NoticePause(now, false);
  m_budget.Refill(now);
  ++m_counters.datagrams_received;
  m_counters.bytes_received += payload.size();
  const std::optional<gossip::Gossip> in = detail::ParseGossip(payload);
  if (!in) {
    ++m_counters.malformed;
    return;
  }
  const NodeId sender(in->sender());
  if (IsSelf(sender)) {
    return;
  }
  const Incarnation own_before = self().incarnation;
  ProcessNews(now, *in);
  if (m_lifecycle.phase() == MemberPhase::kJoining) {
    m_lifecycle.OnPeerContact();
  }
  const bool is_ping = in->type() == gossip::Gossip::PING;
  // An ack carries this node's record anyway; a sender that suspected this node
  // by any other message gets the record here.
  const bool was_suspected = self().incarnation != own_before && !is_ping;
  if (in->wants_record() || was_suspected) {
    SendOwnRecord(now, from, sender);
  }
  switch (in->type()) {
    case gossip::Gossip::PING:
      OnPing(now, from, *in);
      break;
    case gossip::Gossip::ACK:
      OnAck(now, from, *in);
      break;
    case gossip::Gossip::PING_REQUEST:
      OnPingRequest(now, from, *in);
      break;
    case gossip::Gossip::NACK:
      OnNack(*in);
      break;
    case gossip::Gossip::DIGEST:
      OnDigest(now, from, *in);
      break;
    case gossip::Gossip::SYNC_REPLY:
      OnSyncReply(now, *in);
      break;
    default:
      // A message that carries news only, or a type of a later release.
      break;
  }
}

void Membership::Introduce(TimePoint now,
                           const std::vector<Endpoint>& gossip_endpoints) {
  bool has_new = false;
  for (const Endpoint& endpoint : gossip_endpoints) {
    const bool is_known =
        endpoint == self().gossip_endpoint ||
        std::find(m_seeds.begin(), m_seeds.end(), endpoint) != m_seeds.end();
    if (is_known) {
      continue;
    }
    if (m_seeds.size() == kMaxSeeds) {
      m_seeds.erase(m_seeds.begin());
    }
    m_seeds.push_back(endpoint);
    has_new = true;
    if (HasPeers()) {
      // The address may belong to a part of the fleet that is partitioned from
      // this one.
      SendDigest(now, endpoint, NodeId(), false);
    }
  }
  if (has_new) {
    m_next_seed_try = now;
    m_seed_backoff = kMinSeedBackoff;
  }
}

void Membership::UpdateSelf(TimePoint now,
                            const std::optional<TargetSummary>& target,
                            Revision revision) {
  m_table.RaiseRevision(m_self_id, revision);
  AdvanceNewestRevision(now, revision);
  if (target == self().target || IsLeaving()) {
    return;
  }
  Member changed = self();
  changed.target = target;
  changed.incarnation = Incarnation(changed.incarnation.value() + 1);
  m_table.Apply(now, changed);
  PushNews(m_self_id, true);
  ExpediteHeartbeat(now);
}

void Membership::Leave(TimePoint now) {
  if (IsLeaving()) {
    return;
  }
  m_lifecycle.OnLeaveRequested();
  m_table.ApplyState(now, m_self_id, self().incarnation, MemberState::kLeft);
  PushNews(m_self_id, true);
  m_departure_rounds = kDepartureRounds;
  SpreadDeparture(now);
}

std::size_t Membership::QueryRevision(TimePoint now,
                                      Revision revision,
                                      std::size_t max_queries) {
  MemberTable::Pointers behind;
  for (const Member* member : m_table.Live()) {
    if (!IsSelf(member->id) && member->revision < revision) {
      behind.push_back(member);
    }
  }
  const std::size_t queries = std::min(max_queries, behind.size());
  const std::size_t start = behind.empty() ? 0 : m_random.Index(behind.size());
  for (std::size_t i = 0; i < queries; ++i) {
    Ping(now, *behind[(start + i) % behind.size()], m_next_sequence++);
  }
  return behind.size();
}

bool Membership::Broadcast(TimePoint now, const BroadcastItem& item) {
  BroadcastHash hash;
  const bool is_new = m_broadcasts.Add(now, item, hash);
  if (is_new) {
    PushNews(hash, true);
    ExpediteHeartbeat(now);
  }
  return is_new || m_broadcasts.Find(hash) != nullptr;
}

std::vector<BroadcastItem> Membership::TakeBroadcasts() {
  return std::exchange(m_received_broadcasts, {});
}

void Membership::NoticePause(TimePoint now, bool is_timer) {
  const Duration late = now - NextWakeup();
  if (late >= m_settings.pause_threshold) {
    // A process that was paused (stopped, swapped out, host frozen) resumes
    // with every probe overdue. Without this check it would suspect all members
    // that it had pinged, although only the pause kept it from receiving their
    // acks.
    LogLine(LogLevel::kWarning, "membership.paused")
        .Add("seconds", ToSeconds(late));
    ++m_counters.pauses;
    if (late >= m_settings.left_tombstone_age) {
      // Other nodes have removed the tombstones of members that left in the
      // meantime, so passing on this node's table would bring departed members
      // back to life. Start with an empty table and the known addresses.
      std::vector<Endpoint> addresses;
      for (const Member* member : m_table.Live()) {
        addresses.push_back(member->gossip_endpoint);
      }
      m_table.ForgetAllBut(m_self_id);
      m_suspicions.clear();
      UpdateZones(now);
      m_is_catching_up = true;
      Resume(now);
      Introduce(now, addresses);
      return;
    }
    Resume(now);
  } else if (is_timer && late >= m_settings.direct_timeout / 2) {
    m_health.Worsen();
  }
}

void Membership::Resume(TimePoint now) {
  m_probes.clear();
  m_relays.clear();
  for (auto& [id, suspicion] : m_suspicions) {
    suspicion.is_initiator = false;
    suspicion.due =
        now + m_settings.suspicion_time * m_settings.bystander_factor;
  }
  m_health.Worsen(kPausePenalty);
  m_next_heartbeat = now + m_settings.direct_timeout;
  m_next_sync = now + m_settings.fast_sync_period;
  m_next_dead_ping = now + m_settings.dead_ping_period;
  m_next_seed_try = now;
  m_broadcasts.Expire(now);
  if (IsLeaving()) {
    return;
  }
  m_lifecycle.OnIsolated();
  // Other nodes may have declared this node dead in the meantime.
  RaiseOwnIncarnation(now, self().incarnation);
  for (int i = 0; i < kResumeFanout; ++i) {
    const Member* peer = RandomPeer();
    if (peer != nullptr) {
      SendDigest(now, peer->gossip_endpoint, peer->id, false);
    }
  }
}

void Membership::RaiseOwnIncarnation(TimePoint now, Incarnation above) {
  Member renewed = self();
  renewed.incarnation =
      Incarnation(std::max(above, renewed.incarnation).value() + 1);
  renewed.state = MemberState::kAlive;
  m_table.Apply(now, renewed);
  PushNews(m_self_id, true);
  ExpediteHeartbeat(now);
}

void Membership::OnStateChanged(TimePoint now, NodeId id, bool was_live) {
  const Member& member = *m_table.Find(id);
  if (member.state != MemberState::kSuspect) {
    m_suspicions.erase(id);
  } else if (!m_suspicions.contains(id) ||
             m_suspicions[id].incarnation != member.incarnation) {
    Suspicion suspicion;
    suspicion.incarnation = member.incarnation;
    suspicion.due =
        now + m_settings.suspicion_time * m_settings.bystander_factor;
    m_suspicions[id] = suspicion;
  }
  if (!was_live && IsLive(member.state)) {
    m_schedule.Add(member, m_random);
  }
  UpdateZones(now);
}

void Membership::ExpireOldEntries(TimePoint now) {
  m_table.ForgetTombstones(now, m_settings.left_tombstone_age,
                           m_settings.dead_tombstone_age, m_self_id);
  m_broadcasts.Expire(now);
  m_sync_credit = std::min(m_sync_credit + kSyncCreditStep, kSyncCreditBurst);
}

bool Membership::HasPeers() const {
  const MemberTable::Pointers& live = m_table.Live();
  return live.size() > 1 || (live.size() == 1 && !IsSelf(live.front()->id));
}

bool Membership::IsLeaving() const {
  const MemberPhase phase = m_lifecycle.phase();
  return phase == MemberPhase::kLeaving || phase == MemberPhase::kLeft;
}

const Member* Membership::RandomPeer() {
  if (!HasPeers()) {
    return nullptr;
  }
  const MemberTable::Pointers& live = m_table.Live();
  const std::size_t start = m_random.Index(live.size());
  const Member* first = live[start];
  return IsSelf(first->id) ? live[(start + 1) % live.size()] : first;
}

void Membership::SpreadDeparture(TimePoint now) {
  if (m_departure_rounds == 0) {
    return;
  }
  for (int i = 0; i < kDepartureFanout; ++i) {
    const Member* peer = RandomPeer();
    if (peer != nullptr) {
      SendOwnRecord(now, peer->gossip_endpoint, peer->id);
    }
  }
  if (--m_departure_rounds == 0) {
    m_lifecycle.OnDepartureSpread();
  }
}

}  // namespace bulrushmount
