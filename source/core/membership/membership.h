// SWIM-style membership over datagrams: heartbeats, suspicion with refutation,
// piggybacked news and periodic table comparison (anti-entropy). Does no I/O of
// its own: the time, the random source and the datagram port are passed in.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/membership/broadcast_store.h"
#include "core/membership/byte_budget.h"
#include "core/membership/heartbeat_schedule.h"
#include "core/membership/local_health.h"
#include "core/membership/member_lifecycle.h"
#include "core/membership/member_table.h"
#include "core/membership/membership_settings.h"
#include "core/membership/news_queue.h"
#include "core/membership/zone_preference.h"

namespace bulrushmount {

namespace gossip {
class Gossip;
}  // namespace gossip

namespace detail {
class GossipWriter;
struct StateChange;
}  // namespace detail

class Membership {
 public:
  // A `self.incarnation` of 0 is replaced by 1. `random` and `port` must
  // outlive this object.
  Membership(const MembershipSettings& settings,
             Member self,
             RandomSource& random,
             DatagramPort& port,
             TimePoint now);

  // Must be called at NextWakeup() or shortly after. Earlier calls are
  // harmless; a call that is later than the pause threshold is treated as a
  // pause of the process.
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  // `payload` does not include the byte of the datagram's kind.
  void OnDatagram(TimePoint now,
                  const Endpoint& from,
                  std::string_view payload);

  // Adds addresses where other members may be reachable. While no member is
  // known, a few of them are tried at a time until one responds. This node's
  // own address and known ones are ignored.
  void Introduce(TimePoint now, const std::vector<Endpoint>& gossip_endpoints);

  // Updates this node's own record. Increments the incarnation if the target
  // changed; ignores a revision that is not newer.
  void UpdateSelf(TimePoint now,
                  const std::optional<TargetSummary>& target,
                  Revision revision);

  // Marks this node as departed and notifies several members at once.
  // Heartbeats continue, so the node still receives news while it drains.
  void Leave(TimePoint now);

  // Pings up to `max_queries` live members that are not known to have
  // `revision` in force, and returns the number of all such members (0: all
  // have it). Meant to be repeated about every 100 ms while an operator waits.
  std::size_t QueryRevision(TimePoint now,
                            Revision revision,
                            std::size_t max_queries);

  // The newest revision that any member has reported.
  Revision newest_revision() const { return m_newest_revision; }

  const MemberTable& table() const { return m_table; }
  const Member& self() const { return *m_table.Find(m_self_id); }
  MemberPhase phase() const { return m_lifecycle.phase(); }
  const MembershipCounters& counters() const { return m_counters; }

  // Returns the changes since the last call, including those of this node's own
  // record.
  std::vector<MemberChange> TakeChanges() { return m_table.TakeChanges(); }

  // Sends an item to every member by gossip; each member receives it once.
  // False if the item is too large.
  bool Broadcast(TimePoint now, const BroadcastItem& item);
  // Returns the items received from other nodes since the last call.
  std::vector<BroadcastItem> TakeBroadcasts();

 private:
  enum class ProbeKind : std::uint8_t {
    kNormal,
    // Checks other members of the subject's zone if the direct ping fails.
    kOtherZone,
    // One of those checks. That several fail at once is no sign of a fault at
    // this node. The direct ping is not repeated: a suspicion costs little, and
    // the budget is needed when the zone returns.
    kZoneCheck,
  };

  // A heartbeat that waits for its ack.
  struct Probe {
    NodeId subject;
    TimePoint ping_requests_at;
    TimePoint give_up_at;
    bool has_sent_ping_requests = false;
    // When the direct ping is repeated, once ping requests were sent.
    TimePoint next_retry;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
    ProbeKind kind = ProbeKind::kNormal;
  };

  // A ping sent on behalf of another member.
  struct Relay {
    Endpoint origin;
    NodeId origin_id;
    std::uint32_t origin_sequence = 0;
    NodeId subject;
    TimePoint give_up_at;
  };

  struct Suspicion {
    Incarnation incarnation;
    // When an initiator declares the member dead, or another node becomes an
    // initiator.
    TimePoint due;
    // This node pings the member itself until `due`.
    bool is_initiator = false;
    TimePoint next_ping;
  };

  // membership.cc
  void NoticePause(TimePoint now, bool is_timer);
  void Resume(TimePoint now);
  void RaiseOwnIncarnation(TimePoint now, Incarnation above);
  // Updates suspicions and the heartbeat schedule after a state change.
  void OnStateChanged(TimePoint now, NodeId id, bool was_live);
  void ExpireOldEntries(TimePoint now);
  bool IsSelf(NodeId id) const { return id == m_self_id; }
  bool HasPeers() const;
  bool IsLeaving() const;
  const Member* RandomPeer();
  void SpreadDeparture(TimePoint now);

  // zones.cc
  void UpdateZones(TimePoint now);
  // Queues news for the next datagrams, and for other zones if this node
  // reports it first or is one of its carriers.
  void PushNews(const NewsQueue::Subject& subject, bool is_first_report);
  bool IsCarrier(const NewsQueue::Subject& subject) const;
  void SendNewsToOtherZones(TimePoint now);
  void SendNewsToZone(TimePoint now,
                      const AvailabilityZone& zone,
                      const std::set<NewsQueue::Subject>& subjects);
  bool IsNewsForZone(const AvailabilityZone& zone,
                     const NewsQueue::Subject& subject) const;
  const Member* RandomMemberOf(const AvailabilityZone& zone);
  // A random peer of this node's zone, or one in n times of another zone. Any
  // peer if zones are not distinguished.
  const Member* RandomPeerByZone();
  void CheckZone(TimePoint now, const Member& silent);

  // failure_detection.cc
  void Heartbeat(TimePoint now);
  void StartProbe(TimePoint now, const Member& subject, ProbeKind kind);
  void Ping(TimePoint now, const Member& subject, std::uint32_t sequence);
  void CheckProbes(TimePoint now);
  void RetryProbe(TimePoint now, std::uint32_t sequence, Probe& probe);
  void SendPingRequests(std::uint32_t sequence, Probe& probe);
  MemberTable::Pointers PickHelpers(const Member& subject);
  void StartSuspicion(TimePoint now, const Probe& probe);
  void CheckRelays(TimePoint now);
  void CheckSuspicions(TimePoint now);
  void DeclareDead(TimePoint now, NodeId id);
  void PingDead(TimePoint now);
  void OnPing(TimePoint now, const Endpoint& from, const gossip::Gossip& in);
  void OnPingRequest(TimePoint now,
                     const Endpoint& from,
                     const gossip::Gossip& in);
  void OnAck(TimePoint now, const Endpoint& from, const gossip::Gossip& in);
  void OnNack(const gossip::Gossip& in);

  // dissemination.cc
  detail::GossipWriter NewMessage(int type, std::uint32_t sequence) const;
  void SendWithNews(TimePoint now,
                    const Endpoint& to,
                    NodeId to_id,
                    detail::GossipWriter& writer);
  NewsQueue::WriteResult WriteNews(TimePoint now,
                                   const NewsQueue::Subject& subject,
                                   detail::GossipWriter& writer) const;
  void Send(const Endpoint& to, detail::GossipWriter& writer);
  void ProcessNews(TimePoint now, const gossip::Gossip& in);
  void ProcessRecord(TimePoint now, const Member& news, bool is_sync);
  void ProcessStateChange(TimePoint now,
                          const detail::StateChange& news,
                          bool is_sync);
  void ProcessBroadcast(TimePoint now, const BroadcastItem& item, bool is_sync);
  void SendOwnRecord(TimePoint now, const Endpoint& to, NodeId to_id);
  // Brings the next heartbeat forward, so that queued news is sent sooner.
  void ExpediteHeartbeat(TimePoint now);
  // Passes on `revision` if it is newer than the newest known one.
  void AdvanceNewestRevision(TimePoint now, Revision revision);
  bool IsStale(const gossip::Gossip& in) const;

  // anti_entropy.cc
  void StartSync(TimePoint now);
  void SendDigest(TimePoint now,
                  const Endpoint& to,
                  NodeId to_id,
                  bool is_answer);
  void TrySeeds(TimePoint now);
  void OnDigest(TimePoint now, const Endpoint& from, const gossip::Gossip& in);
  void AddBroadcasts(TimePoint now, detail::GossipWriter& writer);
  void OnSyncReply(TimePoint now, const gossip::Gossip& in);

  MembershipSettings m_settings;
  NodeId m_self_id;
  RandomSource& m_random;
  DatagramPort& m_port;
  // Invariant: holds this node's own record, which only this class changes.
  MemberTable m_table;
  MemberLifecycle m_lifecycle;
  LocalHealth m_health;
  ByteBudget m_budget;
  HeartbeatSchedule m_schedule;
  ZonePreference m_zones;
  NewsQueue m_news;
  // News that this node sends to each other zone with its next heartbeat.
  std::set<NewsQueue::Subject> m_news_for_zones;
  std::size_t m_zone_heartbeats = 0;
  TimePoint m_next_zone_check;
  BroadcastStore m_broadcasts;
  std::vector<BroadcastItem> m_received_broadcasts;
  Revision m_newest_revision;
  MembershipCounters m_counters;

  std::uint32_t m_next_sequence = 1;
  std::map<std::uint32_t, Probe> m_probes;
  std::map<std::uint32_t, Relay> m_relays;
  std::map<NodeId, Suspicion> m_suspicions;
  std::vector<Endpoint> m_seeds;
  // True until a table comparison has completed; until then digests request
  // larger replies.
  bool m_is_catching_up = true;
  // Number of sync reply datagrams that may still be sent; refilled at each
  // heartbeat.
  std::size_t m_sync_credit = 0;
  // Remaining rounds of departure notices, one per heartbeat.
  int m_departure_rounds = 0;

  TimePoint m_next_heartbeat;
  TimePoint m_next_sync;
  TimePoint m_next_dead_ping;
  TimePoint m_next_seed_try;
  Duration m_seed_backoff;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_
