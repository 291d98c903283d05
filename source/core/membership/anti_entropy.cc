// Part of `membership.h`: table comparison with random members. It brings new
// nodes up to date, merges the parts of a healed partition and repairs what was
// lost on the way.

#include <algorithm>
#include <vector>

#include "core/membership/gossip_codec.h"
#include "core/membership/membership.h"

namespace bulrushmount {

namespace {

// Number of datagrams of one reply, each smaller than 1,200 bytes.
constexpr std::size_t kReplyDatagrams = 2;
constexpr std::size_t kReplyDatagramsToNewMember = 8;

constexpr std::size_t kSeedsAtOnce = 3;
constexpr Duration kMaxSeedBackoff = std::chrono::seconds(8);
constexpr int kSameRegionAttempts = 4;

}  // namespace

void Membership::StartSync(TimePoint now) {
  const Duration period =
      m_is_catching_up ? m_settings.fast_sync_period : m_settings.sync_period;
  m_next_sync =
      now + FromSeconds(ToSeconds(period) * (0.75 + m_random.Fraction() / 2));
  const Member* peer = RandomPeerByZone();
  const bool is_far_turn =
      m_random.Index(m_settings.far_heartbeat_interval) == 0;
  for (int i = 0; i < kSameRegionAttempts && peer != nullptr && !is_far_turn &&
                  peer->region != self().region;
       ++i) {
    peer = RandomPeerByZone();
  }
  if (peer != nullptr) {
    SendDigest(now, peer->gossip_endpoint, peer->id, false);
  }
}

void Membership::SendDigest(TimePoint now,
                            const Endpoint& to,
                            NodeId to_id,
                            bool is_answer) {
  detail::GossipWriter writer = NewMessage(gossip::Gossip::DIGEST, 0);
  gossip::Digest digest;
  for (const std::uint32_t bucket : m_table.digests()) {
    digest.add_buckets(bucket);
  }
  digest.set_broadcasts(m_broadcasts.Digest());
  digest.set_is_joining(m_is_catching_up);
  digest.set_is_answer(is_answer);
  *writer.message().mutable_digest() = std::move(digest);
  // The first writer did not count the size of the digest; a new one does.
  detail::GossipWriter sized(std::move(writer.message()));
  sized.Add(self());
  const Member* receiver = m_table.Find(to_id);
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    sized.Add(detail::StateChange{receiver->id, receiver->incarnation,
                                  receiver->state});
  }
  Send(to, sized);
}

void Membership::TrySeeds(TimePoint now) {
  const std::size_t start = m_random.Index(m_seeds.size());
  const std::size_t count = std::min(kSeedsAtOnce, m_seeds.size());
  for (std::size_t i = 0; i < count; ++i) {
    SendDigest(now, m_seeds[(start + i) % m_seeds.size()], NodeId(), false);
  }
  m_next_seed_try = now + FromSeconds(ToSeconds(m_seed_backoff) *
                                      (0.5 + m_random.Fraction()));
  m_seed_backoff = std::min(m_seed_backoff * 2, kMaxSeedBackoff);
}

void Membership::OnDigest(TimePoint now,
                          const Endpoint& from,
                          const gossip::Gossip& in) {
  const gossip::Digest& theirs = in.digest();
  if (theirs.buckets_size() != static_cast<int>(MemberTable::kBuckets)) {
    ++m_counters.malformed;
    return;
  }
  const std::size_t most =
      std::min(m_sync_credit, theirs.is_joining() ? kReplyDatagramsToNewMember
                                                  : kReplyDatagrams);
  if (most == 0 || !m_budget.HasAny()) {
    return;
  }
  std::vector<detail::GossipWriter> replies;
  const auto start_reply = [&] {
    replies.push_back(NewMessage(gossip::Gossip::SYNC_REPLY, 0));
  };
  start_reply();
  if (theirs.broadcasts() != m_broadcasts.Digest()) {
    AddBroadcasts(now, replies.back());
  }
  const auto add = [&](const Member& member) {
    return IsLive(member.state)
               ? replies.back().Add(member)
               : replies.back().Add(detail::StateChange{
                     member.id, member.incarnation, member.state});
  };
  bool has_more = false;
  const std::size_t start = m_random.Index(MemberTable::kBuckets);
  for (std::size_t i = 0; i < MemberTable::kBuckets && !has_more; ++i) {
    const std::size_t bucket = (start + i) % MemberTable::kBuckets;
    if (theirs.buckets(static_cast<int>(bucket)) == m_table.digests()[bucket]) {
      continue;
    }
    for (const Member* member : m_table.InBucket(bucket)) {
      if (add(*member)) {
        continue;
      }
      if (replies.size() == most) {
        has_more = true;
        break;
      }
      start_reply();
      add(*member);
    }
  }
  for (detail::GossipWriter& reply : replies) {
    reply.message().set_has_more(has_more);
    Send(from, reply);
    --m_sync_credit;
  }
  const bool differs = replies.size() > 1 ||
                       replies.front().message().records_size() > 0 ||
                       replies.front().message().state_changes_size() > 0;
  if (differs && !theirs.is_answer()) {
    // Sends this node's digest back, so that both sides learn from one
    // comparison. If the other direction were left to chance, a chain of nodes
    // that each know one other would take a minute to merge.
    SendDigest(now, from, NodeId(in.sender()), true);
  }
}

void Membership::AddBroadcasts(TimePoint now, detail::GossipWriter& writer) {
  const std::vector<BroadcastHash> hashes = m_broadcasts.Hashes();
  if (hashes.empty()) {
    return;
  }
  const std::size_t start = m_random.Index(hashes.size());
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    const BroadcastHash hash = hashes[(start + i) % hashes.size()];
    if (!writer.Add(*m_broadcasts.Find(hash),
                    m_broadcasts.Remaining(now, hash))) {
      return;
    }
  }
}

void Membership::OnSyncReply(TimePoint now, const gossip::Gossip& in) {
  if (!in.has_more()) {
    m_is_catching_up = false;
    return;
  }
  m_next_sync = std::min(m_next_sync, now + m_settings.fast_sync_period);
}

}  // namespace bulrushmount
