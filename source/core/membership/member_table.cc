// Part of `member_table.h`.

#include "core/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

namespace {

// The finaliser of SplitMix64. Distributes the bits of ids and incarnations.
std::uint64_t Mix(std::uint64_t bits) {
  bits += 0x9e3779b97f4a7c15;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return bits ^ (bits >> 31);
}

// Suspicions are not part of the digest: they are resolved within seconds, so a
// table comparison for them is not worthwhile.
std::uint32_t DigestOf(const Member& member) {
  return static_cast<std::uint32_t>(
      Mix(member.id.value() ^ Mix(member.incarnation.value())));
}

void Remove(MemberTable::Pointers& pointers, const Member* member) {
  const auto found = std::find(pointers.begin(), pointers.end(), member);
  if (found == pointers.end()) {
    return;
  }
  *found = pointers.back();
  pointers.pop_back();
}

}  // namespace

const Member* MemberTable::Find(NodeId id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.member;
}

const MemberTable::Pointers& MemberTable::LiveOf(
    const ServiceName& service) const {
  static const Pointers none;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? none : found->second;
}

std::size_t MemberTable::BucketOf(NodeId id) {
  return Mix(id.value()) % kBuckets;
}

bool MemberTable::Apply(TimePoint now, const Member& news) {
  const auto found = m_entries.find(news.id);
  if (found == m_entries.end()) {
    if (!IsLive(news.state)) {
      return false;
    }
    Entry& entry = m_entries[news.id];
    entry = Entry{news, now};
    m_buckets[BucketOf(news.id)].push_back(&entry.member);
    Index(entry.member);
    m_changes.push_back({MemberChangeKind::kAdded, news, news.state});
    return true;
  }
  Entry& entry = found->second;
  RaiseRevision(news.id, news.revision);
  if (!Supersedes(news.incarnation, news.state, entry.member.incarnation,
                  entry.member.state)) {
    return false;
  }
  Replace(now, entry, news);
  return true;
}

bool MemberTable::ApplyState(TimePoint now,
                             NodeId id,
                             Incarnation incarnation,
                             MemberState state) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (!Supersedes(incarnation, state, entry.member.incarnation,
                  entry.member.state)) {
    return false;
  }
  // Accepting a live state of a new incarnation without its record would make
  // the record itself, which may name another target, look old when it arrives.
  if (IsLive(state) && incarnation != entry.member.incarnation) {
    return false;
  }
  Member news = entry.member;
  news.incarnation = incarnation;
  news.state = state;
  Replace(now, entry, news);
  return true;
}

void MemberTable::RaiseRevision(NodeId id, Revision revision) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && revision > found->second.member.revision) {
    found->second.member.revision = revision;
  }
}

void MemberTable::ForgetTombstones(TimePoint now,
                                   Duration left_age,
                                   Duration dead_age,
                                   NodeId keep) {
  std::vector<NodeId> old;
  for (const auto& [id, entry] : m_entries) {
    if (IsLive(entry.member.state) || id == keep) {
      continue;
    }
    const bool has_left = entry.member.state == MemberState::kLeft;
    if (now - entry.since >= (has_left ? left_age : dead_age)) {
      old.push_back(id);
    }
  }
  for (const NodeId id : old) {
    Forget(id);
  }
}

void MemberTable::ForgetAllBut(NodeId self) {
  std::vector<NodeId> others;
  for (const auto& [id, entry] : m_entries) {
    if (id != self) {
      others.push_back(id);
    }
  }
  for (const NodeId id : others) {
    Forget(id);
  }
}

std::vector<MemberChange> MemberTable::TakeChanges() {
  return std::exchange(m_changes, {});
}

void MemberTable::Unindex(const Member& member) {
  if (!IsLive(member.state)) {
    Remove(m_dead, &member);
    return;
  }
  Remove(m_live, &member);
  m_digests[BucketOf(member.id)] ^= DigestOf(member);
  if (!member.target) {
    return;
  }
  const auto found = m_by_service.find(member.target->service);
  Remove(found->second, &member);
  if (found->second.empty()) {
    m_by_service.erase(found);
  }
}

void MemberTable::Index(const Member& member) {
  if (!IsLive(member.state)) {
    if (member.state == MemberState::kDead) {
      m_dead.push_back(&member);
    }
    return;
  }
  m_live.push_back(&member);
  m_digests[BucketOf(member.id)] ^= DigestOf(member);
  if (member.target) {
    m_by_service[member.target->service].push_back(&member);
  }
}

void MemberTable::Replace(TimePoint now, Entry& entry, const Member& news) {
  const MemberState before = entry.member.state;
  const Revision revision = std::max(entry.member.revision, news.revision);
  Unindex(entry.member);
  entry.member = news;
  entry.member.revision = revision;
  if (before != news.state) {
    entry.since = now;
  }
  Index(entry.member);
  m_changes.push_back({MemberChangeKind::kUpdated, entry.member, before});
}

void MemberTable::Forget(NodeId id) {
  const auto found = m_entries.find(id);
  Unindex(found->second.member);
  Remove(m_buckets[BucketOf(id)], &found->second.member);
  m_changes.push_back({MemberChangeKind::kForgotten, found->second.member,
                       found->second.member.state});
  m_entries.erase(found);
}

}  // namespace bulrushmount
