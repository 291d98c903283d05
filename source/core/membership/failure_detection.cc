// Part of `membership.h`: heartbeats, indirect pings through helpers, and
// suspicions.

#include <algorithm>
#include <functional>
#include <vector>

#include "core/common/logging.h"
#include "core/membership/gossip_codec.h"
#include "core/membership/membership.h"

namespace bulrushmount {

namespace {

// A helper reports failure after this share of the indirect timeout, early
// enough for the nack to arrive in time.
constexpr double kRelayTimeShare = 0.6;

}  // namespace

void Membership::Heartbeat(TimePoint now) {
  m_next_heartbeat += m_settings.heartbeat_period;
  if (m_next_heartbeat <= now) {
    m_next_heartbeat = now + m_settings.heartbeat_period;
  }
  ExpireOldEntries(now);
  SpreadDeparture(now);
  UpdateZones(now);
  SendNewsToOtherZones(now);
  const Member* subject = m_schedule.Next(m_table, m_random);
  if (subject == nullptr) {
    return;
  }
  StartProbe(now, *subject, ProbeKind::kNormal);
  if (!m_zones.is_active() ||
      ++m_zone_heartbeats % m_settings.other_zone_interval != 0) {
    return;
  }
  const Member* other = m_schedule.NextInOtherZones(m_table, m_random);
  if (other != nullptr) {
    StartProbe(now, *other, ProbeKind::kOtherZone);
  }
}

void Membership::StartProbe(TimePoint now,
                            const Member& subject,
                            ProbeKind kind) {
  const std::uint32_t sequence = m_next_sequence++;
  Probe probe;
  probe.subject = subject.id;
  probe.ping_requests_at = now + m_health.Stretch(m_settings.direct_timeout);
  probe.give_up_at =
      probe.ping_requests_at + m_health.Stretch(m_settings.indirect_timeout);
  probe.kind = kind;
  m_probes.emplace(sequence, probe);
  Ping(now, subject, sequence);
}

void Membership::Ping(TimePoint now,
                      const Member& subject,
                      std::uint32_t sequence) {
  detail::GossipWriter writer = NewMessage(gossip::Gossip::PING, sequence);
  // A replacement node at the same address must not answer a ping for its
  // predecessor.
  writer.message().set_subject(subject.id.value());
  SendWithNews(now, subject.gossip_endpoint, subject.id, writer);
}

void Membership::CheckProbes(TimePoint now) {
  std::vector<NodeId> silent;
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    Probe& probe = it->second;
    if (!probe.has_sent_ping_requests && now >= probe.ping_requests_at) {
      SendPingRequests(it->first, probe);
      probe.next_retry = now;
      if (probe.kind == ProbeKind::kOtherZone) {
        silent.push_back(probe.subject);
      }
    }
    if (probe.has_sent_ping_requests && now >= probe.next_retry &&
        probe.kind != ProbeKind::kZoneCheck) {
      RetryProbe(now, it->first, probe);
    }
    if (now >= probe.give_up_at) {
      StartSuspicion(now, probe);
      it = m_probes.erase(it);
    } else {
      ++it;
    }
  }
  for (const NodeId id : silent) {
    const Member* subject = m_table.Find(id);
    if (subject != nullptr) {
      CheckZone(now, *subject);
    }
  }
}

void Membership::RetryProbe(TimePoint now,
                            std::uint32_t sequence,
                            Probe& probe) {
  probe.next_retry = now + m_health.Stretch(m_settings.direct_retry_interval);
  const Member* subject = m_table.Find(probe.subject);
  if (subject != nullptr && IsLive(subject->state)) {
    Ping(now, *subject, sequence);
  }
}

void Membership::SendPingRequests(std::uint32_t sequence, Probe& probe) {
  probe.has_sent_ping_requests = true;
  const Member* subject = m_table.Find(probe.subject);
  if (subject == nullptr || !IsLive(subject->state)) {
    return;
  }
  for (const Member* helper : PickHelpers(*subject)) {
    detail::GossipWriter writer =
        NewMessage(gossip::Gossip::PING_REQUEST, sequence);
    writer.message().set_subject(subject->id.value());
    Send(helper->gossip_endpoint, writer);
    ++probe.helpers;
  }
}

MemberTable::Pointers Membership::PickHelpers(const Member& subject) {
  using Predicate = std::function<bool(const Member&)>;
  // Picks helpers close to the subject, as the path from here to it may be cut,
  // and one close to this node, so that a helper remains reachable when the
  // subject's whole region is cut off.
  const Predicate in_subject_zone = [&](const Member& member) {
    return member.zone == subject.zone;
  };
  const Predicate in_own_region = [&](const Member& member) {
    return member.region == self().region && !m_zones.IsOther(member);
  };
  const Predicate in_subject_region = [&](const Member& member) {
    return member.region == subject.region;
  };
  const Predicate anyone = [](const Member&) { return true; };
  MemberTable::Pointers helpers;
  const auto pick = [&](const Predicate& matches) {
    MemberTable::Pointers candidates;
    for (const Member* member : m_table.Live()) {
      const bool is_free =
          !IsSelf(member->id) && member->id != subject.id &&
          member->state == MemberState::kAlive &&
          std::find(helpers.begin(), helpers.end(), member) == helpers.end();
      if (is_free && matches(*member)) {
        candidates.push_back(member);
      }
    }
    if (candidates.empty() || helpers.size() == m_settings.indirect_helpers) {
      return;
    }
    helpers.push_back(candidates[m_random.Index(candidates.size())]);
  };
  for (const Predicate& matches :
       {in_own_region, in_subject_zone, in_subject_region}) {
    pick(matches);
  }
  for (std::size_t i = 0; i < m_settings.indirect_helpers; ++i) {
    pick(anyone);
  }
  return helpers;
}

void Membership::StartSuspicion(TimePoint now, const Probe& probe) {
  if (probe.helpers > 0 && probe.nacks == 0 &&
      probe.kind != ProbeKind::kZoneCheck) {
    // No helper responded either, so the fault is more likely at this node.
    m_health.Worsen();
  }
  const Member* subject = m_table.Find(probe.subject);
  if (subject == nullptr || !IsLive(subject->state)) {
    return;
  }
  if (m_table.ApplyState(now, subject->id, subject->incarnation,
                         MemberState::kSuspect)) {
    ++m_counters.suspicions;
    PushNews(subject->id, true);
    OnStateChanged(now, subject->id, true);
  }
  Suspicion& suspicion = m_suspicions[subject->id];
  suspicion.due = std::min(suspicion.due,
                           now + m_health.Stretch(m_settings.suspicion_time));
  if (!suspicion.is_initiator) {
    suspicion.is_initiator = true;
    suspicion.next_ping = now;
  }
}

void Membership::CheckRelays(TimePoint now) {
  for (auto it = m_relays.begin(); it != m_relays.end();) {
    const Relay& relay = it->second;
    if (now < relay.give_up_at) {
      ++it;
      continue;
    }
    detail::GossipWriter writer =
        NewMessage(gossip::Gossip::NACK, relay.origin_sequence);
    writer.message().set_subject(relay.subject.value());
    Send(relay.origin, writer);
    it = m_relays.erase(it);
  }
}

void Membership::CheckSuspicions(TimePoint now) {
  std::vector<NodeId> due;
  for (auto& [id, suspicion] : m_suspicions) {
    if (now >= suspicion.due && suspicion.is_initiator) {
      due.push_back(id);
      continue;
    }
    if (now >= suspicion.due) {
      // Neither the initiator's death report nor a refutation has arrived,
      // perhaps because it was lost. A member is not declared dead on the
      // reports of others alone, so this node starts pinging it.
      suspicion.is_initiator = true;
      suspicion.due = now + m_health.Stretch(m_settings.suspicion_time);
      suspicion.next_ping = now;
    }
    if (suspicion.is_initiator && now >= suspicion.next_ping) {
      // The ping carries the suspicion, so that the member can refute it even
      // if every other datagram to it is lost.
      suspicion.next_ping = now + m_settings.heartbeat_period / 2;
      Ping(now, *m_table.Find(id), m_next_sequence++);
    }
  }
  for (const NodeId id : due) {
    DeclareDead(now, id);
  }
}

void Membership::DeclareDead(TimePoint now, NodeId id) {
  const Incarnation incarnation = m_table.Find(id)->incarnation;
  m_table.ApplyState(now, id, incarnation, MemberState::kDead);
  ++m_counters.deaths_declared;
  PushNews(id, true);
  OnStateChanged(now, id, true);
  ExpediteHeartbeat(now);
  LogLine(LogLevel::kInfo, "membership.dead").Add("node", id);
}

void Membership::PingDead(TimePoint now) {
  m_next_dead_ping =
      now + (m_zones.IsMerging(now) ? m_settings.merging_dead_ping_period
                                    : m_settings.dead_ping_period);
  const MemberTable::Pointers& dead = m_table.Dead();
  if (!dead.empty()) {
    Ping(now, *dead[m_random.Index(dead.size())], m_next_sequence++);
  }
}

void Membership::OnPing(TimePoint now,
                        const Endpoint& from,
                        const gossip::Gossip& in) {
  const NodeId subject(in.subject());
  if (subject != NodeId() && !IsSelf(subject)) {
    // The ping is meant for this node's predecessor at the address and gets no
    // ack. If this node knows no other member, it uses the sender's address to
    // join: while the table is down, a replacement that missed the news of its
    // predecessor's death would otherwise stay isolated until the table is
    // back.
    if (!HasPeers()) {
      Introduce(now, {from});
    }
    return;
  }
  detail::GossipWriter writer = NewMessage(gossip::Gossip::ACK, in.sequence());
  writer.message().set_subject(m_self_id.value());
  writer.message().set_wants_record(IsStale(in));
  SendWithNews(now, from, NodeId(in.sender()), writer);
}

void Membership::OnPingRequest(TimePoint now,
                               const Endpoint& from,
                               const gossip::Gossip& in) {
  const Member* subject = m_table.Find(NodeId(in.subject()));
  if (subject == nullptr || IsSelf(subject->id)) {
    return;
  }
  const std::uint32_t sequence = m_next_sequence++;
  Relay relay;
  relay.origin = from;
  relay.origin_id = NodeId(in.sender());
  relay.origin_sequence = in.sequence();
  relay.subject = subject->id;
  relay.give_up_at = now + FromSeconds(kRelayTimeShare *
                                       ToSeconds(m_settings.indirect_timeout));
  m_relays.emplace(sequence, relay);
  Ping(now, *subject, sequence);
}

void Membership::OnAck(TimePoint now,
                       const Endpoint& from,
                       const gossip::Gossip& in) {
  const NodeId subject(in.subject());
  const bool is_own_report = in.sender() == in.subject();
  if (is_own_report && IsStale(in)) {
    detail::GossipWriter writer = NewMessage(gossip::Gossip::NEWS, 0);
    writer.message().set_wants_record(true);
    Send(from, writer);
  }
  const auto probe = m_probes.find(in.sequence());
  if (probe != m_probes.end() && probe->second.subject == subject) {
    m_probes.erase(probe);
    m_health.Improve();
    return;
  }
  const auto relay = m_relays.find(in.sequence());
  if (relay == m_relays.end() || relay->second.subject != subject) {
    return;
  }
  detail::GossipWriter writer =
      NewMessage(gossip::Gossip::ACK, relay->second.origin_sequence);
  writer.message().set_subject(subject.value());
  SendWithNews(now, relay->second.origin, relay->second.origin_id, writer);
  m_relays.erase(relay);
}

void Membership::OnNack(const gossip::Gossip& in) {
  const auto probe = m_probes.find(in.sequence());
  if (probe != m_probes.end() &&
      probe->second.subject == NodeId(in.subject())) {
    ++probe->second.nacks;
  }
}

}  // namespace bulrushmount
