// Part of `membership.h`: sends datagrams with piggybacked news, and processes
// the news of received ones.

#include <algorithm>
#include <utility>

#include "core/common/logging.h"
#include "core/membership/gossip_codec.h"
#include "core/membership/membership.h"

namespace bulrushmount {

namespace {

// IP and UDP headers and the byte of the datagram's kind.
constexpr std::size_t kHeaderBytes = 29;

constexpr int kRevisionFanout = 3;

}  // namespace

detail::GossipWriter Membership::NewMessage(int type,
                                            std::uint32_t sequence) const {
  gossip::Gossip message;
  message.set_version(detail::kGossipVersion);
  message.set_type(static_cast<gossip::Gossip::Type>(type));
  message.set_sender(m_self_id.value());
  message.set_sender_incarnation(self().incarnation.value());
  message.set_revision(self().revision.value());
  message.set_newest_revision(m_newest_revision.value());
  message.set_sequence(sequence);
  return detail::GossipWriter(std::move(message));
}

void Membership::SendWithNews(TimePoint now,
                              const Endpoint& to,
                              NodeId to_id,
                              detail::GossipWriter& writer) {
  const Member* receiver = m_table.Find(to_id);
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    // A member that is wrongly suspected or declared dead must learn of it in
    // order to refute it.
    writer.Add(detail::StateChange{receiver->id, receiver->incarnation,
                                   receiver->state});
  }
  // News for other zones is sent by a few members, with their heartbeats.
  const bool carries_news = receiver == nullptr || !m_zones.IsOther(*receiver);
  if (m_budget.HasAny() && carries_news) {
    m_news.Offer(TransmissionLimit(m_table.Live().size()),
                 [&](const NewsQueue::Subject& subject) {
                   return WriteNews(now, subject, writer);
                 });
  }
  Send(to, writer);
}

NewsQueue::WriteResult Membership::WriteNews(
    TimePoint now,
    const NewsQueue::Subject& subject,
    detail::GossipWriter& writer) const {
  using WriteResult = NewsQueue::WriteResult;
  if (const auto* hash = std::get_if<BroadcastHash>(&subject)) {
    const BroadcastItem* item = m_broadcasts.Find(*hash);
    if (item == nullptr) {
      return WriteResult::kObsolete;
    }
    return writer.Add(*item, m_broadcasts.Remaining(now, *hash))
               ? WriteResult::kSent
               : WriteResult::kNoRoom;
  }
  const Member* member = m_table.Find(std::get<NodeId>(subject));
  if (member == nullptr) {
    return WriteResult::kObsolete;
  }
  const bool is_added =
      member->state == MemberState::kAlive
          ? writer.Add(*member)
          : writer.Add(detail::StateChange{member->id, member->incarnation,
                                           member->state});
  return is_added ? WriteResult::kSent : WriteResult::kNoRoom;
}

void Membership::Send(const Endpoint& to, detail::GossipWriter& writer) {
  std::string payload = writer.Take();
  ++m_counters.datagrams_sent;
  m_counters.bytes_sent += payload.size();
  m_budget.Spend(payload.size() + kHeaderBytes);
  m_port.Send(to, DatagramKind::kGossip, std::move(payload));
}

void Membership::SendOwnRecord(TimePoint now,
                               const Endpoint& to,
                               NodeId to_id) {
  detail::GossipWriter writer = NewMessage(gossip::Gossip::NEWS, 0);
  writer.Add(self());
  SendWithNews(now, to, to_id, writer);
}

void Membership::ExpediteHeartbeat(TimePoint now) {
  if (m_budget.HasReserve()) {
    m_next_heartbeat =
        std::min(m_next_heartbeat, now + m_settings.expedited_heartbeat_delay);
  }
}

void Membership::AdvanceNewestRevision(TimePoint now, Revision revision) {
  if (revision <= m_newest_revision) {
    return;
  }
  m_newest_revision = revision;
  if (!m_budget.HasReserve()) {
    return;
  }
  // Every datagram carries the revision. A few pings sent at once save the wait
  // for the next heartbeats, and each node sends them only once per revision.
  for (int i = 0; i < kRevisionFanout; ++i) {
    const Member* peer = RandomPeerByZone();
    if (peer != nullptr) {
      Ping(now, *peer, m_next_sequence++);
    }
  }
}

bool Membership::IsStale(const gossip::Gossip& in) const {
  const Member* sender = m_table.Find(NodeId(in.sender()));
  return sender == nullptr ||
         sender->incarnation < Incarnation(in.sender_incarnation());
}

void Membership::ProcessNews(TimePoint now, const gossip::Gossip& in) {
  const bool is_sync = in.type() == gossip::Gossip::SYNC_REPLY;
  for (const gossip::Record& record : in.records()) {
    ProcessRecord(now, detail::ToMember(in, record), is_sync);
  }
  for (const gossip::StateChange& change : in.state_changes()) {
    ProcessStateChange(now, detail::ToStateChange(change), is_sync);
  }
  for (const gossip::Broadcast& broadcast : in.broadcasts()) {
    ProcessBroadcast(now, detail::ToBroadcastItem(broadcast), is_sync);
  }
  m_table.RaiseRevision(NodeId(in.sender()), Revision(in.revision()));
  AdvanceNewestRevision(
      now, std::max(Revision(in.revision()), Revision(in.newest_revision())));
}

void Membership::ProcessRecord(TimePoint now,
                               const Member& news,
                               bool is_sync) {
  if (IsSelf(news.id)) {
    ProcessStateChange(now, {news.id, news.incarnation, news.state}, is_sync);
    return;
  }
  const Member* known = m_table.Find(news.id);
  const bool was_live = known != nullptr && IsLive(known->state);
  const bool was_dead = known != nullptr && known->state == MemberState::kDead;
  if (!m_table.Apply(now, news)) {
    return;
  }
  if (was_dead && IsLive(news.state)) {
    m_zones.OnRevived(now, news);
    if (m_zones.IsMerging(now)) {
      m_next_dead_ping =
          std::min(m_next_dead_ping, now + m_settings.merging_dead_ping_period);
    }
    // A partition has healed or a paused node has resumed: compare tables soon.
    m_next_sync = std::min(m_next_sync, now + m_settings.fast_sync_period);
  }
  OnStateChanged(now, news.id, was_live);
  if (is_sync) {
    m_next_sync = std::min(m_next_sync, now + m_settings.fast_sync_period);
  } else {
    // Records received by table comparison are not passed on: the sender's
    // other peers know them already, and passing on a whole table would cost
    // each node its size times the logarithm of the fleet.
    PushNews(news.id, false);
    ExpediteHeartbeat(now);
  }
}

void Membership::ProcessStateChange(TimePoint now,
                                    const detail::StateChange& news,
                                    bool is_sync) {
  if (!IsSelf(news.id)) {
    const Member* known = m_table.Find(news.id);
    const bool was_live = known != nullptr && IsLive(known->state);
    if (m_table.ApplyState(now, news.id, news.incarnation, news.state)) {
      OnStateChanged(now, news.id, was_live);
      if (!is_sync) {
        PushNews(news.id, false);
      }
      if (!is_sync && news.state != MemberState::kSuspect) {
        ExpediteHeartbeat(now);
      }
    }
    return;
  }
  const bool is_suspicion = Supersedes(news.incarnation, news.state,
                                       self().incarnation, self().state);
  if (!is_suspicion || IsLeaving()) {
    return;
  }
  ++m_counters.refutations;
  m_health.Worsen();
  RaiseOwnIncarnation(now, news.incarnation);
}

void Membership::ProcessBroadcast(TimePoint now,
                                  const BroadcastItem& item,
                                  bool is_sync) {
  BroadcastHash hash;
  if (!m_broadcasts.Add(now, item, hash)) {
    return;
  }
  m_received_broadcasts.push_back(item);
  if (!is_sync) {
    PushNews(hash, false);
    ExpediteHeartbeat(now);
  }
}

}  // namespace bulrushmount
