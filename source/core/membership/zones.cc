// Part of `membership.h`: what is sent to other availability zones while this
// node distinguishes them.

#include <algorithm>
#include <utility>
#include <vector>

#include "core/membership/gossip_codec.h"
#include "core/membership/membership.h"

namespace bulrushmount {

namespace {

// Beyond this size news for other zones is dropped; table comparison repairs
// that.
constexpr std::size_t kMaxNewsForZones = NewsQueue::kMaxItems;

// Orders the members of a zone differently for each subject.
std::uint64_t CarrierRank(NodeId node, std::uint64_t subject) {
  // The finalizer of SplitMix64.
  std::uint64_t bits = node.value() + subject * 0x9e3779b97f4a7c15;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return bits ^ (bits >> 31);
}

}  // namespace

void Membership::UpdateZones(TimePoint now) {
  const bool had_fault = m_zones.HasFault(now);
  if (m_zones.Update(now, m_table)) {
    m_schedule.SetZones(
        m_zones.is_active()
            ? [this](const Member& member) { return m_zones.IsOther(member); }
            : HeartbeatSchedule::IsOtherZone());
  }
  if (!had_fault && m_zones.HasFault(now)) {
    // The suspicions that showed the fault must reach all members soon, so that
    // each monitors the zone itself.
    ExpediteHeartbeat(now);
  }
}

void Membership::PushNews(const NewsQueue::Subject& subject,
                          bool is_first_report) {
  m_news.Push(subject);
  if (m_zones.is_active() && m_news_for_zones.size() < kMaxNewsForZones &&
      (is_first_report || IsCarrier(subject))) {
    m_news_for_zones.insert(subject);
  }
}

bool Membership::IsCarrier(const NewsQueue::Subject& subject) const {
  const auto* const id = std::get_if<NodeId>(&subject);
  const std::uint64_t key =
      id != nullptr ? id->value() : std::get<BroadcastHash>(subject).value();
  const std::uint64_t own = CarrierRank(m_self_id, key);
  std::size_t before = 0;
  for (const Member* member : m_table.Live()) {
    const bool may_carry = member->zone == self().zone &&
                           member->state == MemberState::kAlive &&
                           (id == nullptr || member->id != *id);
    before += may_carry && CarrierRank(member->id, key) < own ? 1 : 0;
  }
  // Reports of suspect, dead and departed members are few and must not be late.
  const Member* const subject_member =
      id == nullptr ? nullptr : m_table.Find(*id);
  const bool is_urgent =
      subject_member != nullptr && subject_member->state != MemberState::kAlive;
  return before < m_settings.news_carriers * (is_urgent ? 2 : 1);
}

void Membership::SendNewsToOtherZones(TimePoint now) {
  if (m_news_for_zones.empty() || !m_budget.HasAny()) {
    return;
  }
  // If no zone is distinguished any more, the queued news reaches all members.
  const std::set<NewsQueue::Subject> subjects =
      std::exchange(m_news_for_zones, {});
  for (const AvailabilityZone& zone : m_zones.others()) {
    SendNewsToZone(now, zone, subjects);
  }
}

void Membership::SendNewsToZone(TimePoint now,
                                const AvailabilityZone& zone,
                                const std::set<NewsQueue::Subject>& subjects) {
  detail::GossipWriter writer = NewMessage(gossip::Gossip::NEWS, 0);
  bool is_empty = true;
  const auto send = [&] {
    const Member* receiver = RandomMemberOf(zone);
    if (receiver != nullptr && !is_empty) {
      Send(receiver->gossip_endpoint, writer);
    }
    is_empty = true;
  };
  for (const NewsQueue::Subject& subject : subjects) {
    if (!IsNewsForZone(zone, subject)) {
      continue;
    }
    NewsQueue::WriteResult result = WriteNews(now, subject, writer);
    if (result == NewsQueue::WriteResult::kNoRoom) {
      send();
      writer = NewMessage(gossip::Gossip::NEWS, 0);
      result = WriteNews(now, subject, writer);
    }
    is_empty = is_empty && result != NewsQueue::WriteResult::kSent;
  }
  send();
}

// A zone knows what its own members say of themselves.
bool Membership::IsNewsForZone(const AvailabilityZone& zone,
                               const NewsQueue::Subject& subject) const {
  const auto* const id = std::get_if<NodeId>(&subject);
  const Member* const member = id == nullptr ? nullptr : m_table.Find(*id);
  return member == nullptr || member->zone != zone ||
         member->state != MemberState::kAlive;
}

const Member* Membership::RandomMemberOf(const AvailabilityZone& zone) {
  MemberTable::Pointers members;
  for (const Member* member : m_table.Live()) {
    if (member->zone == zone && member->state == MemberState::kAlive) {
      members.push_back(member);
    }
  }
  return members.empty() ? nullptr : members[m_random.Index(members.size())];
}

const Member* Membership::RandomPeerByZone() {
  if (!m_zones.is_active()) {
    return RandomPeer();
  }
  const bool is_other_turn =
      m_random.Index(m_settings.other_zone_interval) == 0;
  MemberTable::Pointers peers;
  for (const Member* member : m_table.Live()) {
    if (!IsSelf(member->id) && m_zones.IsOther(*member) == is_other_turn) {
      peers.push_back(member);
    }
  }
  return peers.empty() ? RandomPeer() : peers[m_random.Index(peers.size())];
}

void Membership::CheckZone(TimePoint now, const Member& silent) {
  // If another node has found a suspect already, it checks the zone too.
  if (now < m_next_zone_check || !m_zones.IsOther(silent) ||
      m_zones.HasSuspects(silent.zone)) {
    return;
  }
  m_next_zone_check = now + m_settings.zone_check_interval;
  std::set<NodeId> checked = {silent.id};
  for (std::size_t i = 0; i < m_settings.zone_check_heartbeats; ++i) {
    const Member* member = RandomMemberOf(silent.zone);
    if (member != nullptr && checked.insert(member->id).second) {
      StartProbe(now, *member, ProbeKind::kZoneCheck);
    }
  }
}

}  // namespace bulrushmount
