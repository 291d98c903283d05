// A node's table of all members, with the rule that decides which report about
// a member is newer, and indexes of live members by service.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_TABLE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/common/time.h"
#include "core/membership/member.h"

namespace bulrushmount {

enum class MemberChangeKind : std::uint8_t {
  kAdded,
  // The record or the state has changed; `before` holds the earlier state.
  kUpdated,
  // The tombstone of a dead or departed member was removed.
  kForgotten,
};

struct MemberChange {
  MemberChangeKind kind = MemberChangeKind::kAdded;
  Member member;
  // The state before the change; for kAdded the state of the new record.
  MemberState before = MemberState::kAlive;
};

// Alive or suspect. A suspect member still counts as live until it is declared
// dead.
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// Whether a report (incarnation, state) replaces the known one of the same
// member.
constexpr bool Supersedes(Incarnation news_incarnation,
                          MemberState news_state,
                          Incarnation known_incarnation,
                          MemberState known_state) {
  if (news_incarnation != known_incarnation) {
    return news_incarnation > known_incarnation;
  }
  return news_state > known_state;
}

class MemberTable {
 public:
  // Members are distributed over buckets by id. If the digests of a bucket are
  // equal in two tables, both hold the same live members in it.
  static constexpr std::size_t kBuckets = 64;
  using Digests = std::array<std::uint32_t, kBuckets>;
  using Pointers = std::vector<const Member*>;

  MemberTable() = default;
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  // Null if unknown. Valid until the member is removed from the table.
  const Member* Find(NodeId id) const;

  // Live members including this node, in unspecified order. Valid until the
  // next change of the table.
  const Pointers& Live() const { return m_live; }

  // Live members whose target belongs to `service`, whether it accepts requests
  // or not.
  const Pointers& LiveOf(const ServiceName& service) const;

  // Members declared dead; their records, and so their addresses, are still
  // kept.
  const Pointers& Dead() const { return m_dead; }

  const Digests& digests() const { return m_digests; }
  // All members of a bucket, including tombstones.
  const Pointers& InBucket(std::size_t bucket) const {
    return m_buckets[bucket];
  }
  static std::size_t BucketOf(NodeId id);

  std::size_t size() const { return m_entries.size(); }

  // Stores the record if it is newer than the known one. A tombstone of an
  // unknown member is ignored: otherwise nodes would pass tombstones back and
  // forth for ever. Returns whether anything but the revision changed.
  bool Apply(TimePoint now, const Member& news);

  // The same for a report without a record. A live state of an incarnation
  // whose record has not arrived is ignored.
  bool ApplyState(TimePoint now,
                  NodeId id,
                  Incarnation incarnation,
                  MemberState state);

  // Has no effect if `revision` is not newer than the known one.
  void RaiseRevision(NodeId id, Revision revision);

  // Removes tombstones of departed and dead members that are older than
  // `left_age` and `dead_age`, but never the record of `keep`.
  void ForgetTombstones(TimePoint now,
                        Duration left_age,
                        Duration dead_age,
                        NodeId keep);

  // Removes every member except `self`.
  void ForgetAllBut(NodeId self);

  // Returns the changes since the last call, in order.
  std::vector<MemberChange> TakeChanges();

 private:
  struct Entry {
    Member member;
    // When this node last changed the state.
    TimePoint since;
  };

  void Unindex(const Member& member);
  void Index(const Member& member);
  void Replace(TimePoint now, Entry& entry, const Member& news);
  void Forget(NodeId id);

  // Invariant: m_live, m_by_service, m_dead, m_buckets and m_digests are
  // consistent with m_entries.
  std::map<NodeId, Entry> m_entries;
  Pointers m_live;
  Pointers m_dead;
  std::map<ServiceName, Pointers> m_by_service;
  std::array<Pointers, kBuckets> m_buckets;
  Digests m_digests{};
  std::vector<MemberChange> m_changes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_TABLE_H_
