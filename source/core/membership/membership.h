// SWIM-style membership over datagrams: heartbeats, suspicion with refutation,
// piggybacked news and periodic comparison of tables. Pure decisions: the time,
// the random source and the port for datagrams are arguments.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
  // `self.incarnation` of 0 counts as 1. `random` and `port` must outlive this.
  Membership(const MembershipSettings& settings,
             Member self,
             RandomSource& random,
             DatagramPort& port,
             TimePoint now);

  // To be called at NextWakeup() or soon after. Calls that come earlier do no
  // harm; one that comes very late is taken for a pause of the process.
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  // `payload` without the kind's byte.
  void OnDatagram(TimePoint now,
                  const Endpoint& from,
                  std::string_view payload);

  // Addresses at which other members may be; a few of them are tried until
  // one answers. Own and repeated addresses are ignored.
  void Introduce(TimePoint now, const std::vector<Endpoint>& gossip_endpoints);

  // What this node says of itself; raises the incarnation if the target
  // changed. The revision only rises.
  void UpdateSelf(TimePoint now,
                  const std::optional<TargetSummary>& target,
                  Revision revision);

  // Tells several members at once. Heartbeats go on, so that the node hears of
  // others while it drains.
  void Leave(TimePoint now);

  // Asks up to `max_queries` live members that are not known to have
  // `revision` in force, and returns how many such there are (0: all have it).
  // Meant to be repeated, some 100 ms apart, while an operator waits.
  std::size_t QueryRevision(TimePoint now,
                            Revision revision,
                            std::size_t max_queries);

  // The newest revision that any member was heard to have.
  Revision newest_revision() const { return m_newest_revision; }

  const MemberTable& table() const { return m_table; }
  const Member& self() const { return *m_table.Find(m_self_id); }
  MemberPhase phase() const { return m_lifecycle.phase(); }
  const MembershipCounters& counters() const { return m_counters; }

  // Changes since the last call, of this node's own record too.
  std::vector<MemberChange> TakeChanges() { return m_table.TakeChanges(); }

  // Spreads an item to every member, each of which takes it once. False if it
  // is too large.
  bool Broadcast(TimePoint now, const BroadcastItem& item);
  // Items of other nodes since the last call.
  std::vector<BroadcastItem> TakeBroadcasts();

 private:
  // A heartbeat that waits for its answer.
  struct Probe {
    NodeId target;
    TimePoint ask_others_at;
    TimePoint give_up_at;
    bool has_asked_others = false;
    // Of the direct heartbeat, once others were asked.
    TimePoint next_retry;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
  };

  // A heartbeat sent for another member.
  struct Relay {
    Endpoint origin;
    NodeId origin_id;
    std::uint32_t origin_sequence = 0;
    NodeId target;
    TimePoint give_up_at;
  };

  struct Suspicion {
    Incarnation incarnation;
    // The initiator's verdict; a bystander becomes an initiator then.
    TimePoint due;
    // This node itself goes on trying the member until the verdict.
    bool is_initiator = false;
    TimePoint next_ping;
  };

  // membership.cc
  void NoticePause(TimePoint now, bool is_timer);
  void Resume(TimePoint now);
  void RaiseOwnIncarnation(TimePoint now, Incarnation above);
  // Brings suspicions and the schedule in line with the member's new state.
  void NoteState(TimePoint now, NodeId id, bool was_live);
  void ForgetOld(TimePoint now);
  bool IsSelf(NodeId id) const { return id == m_self_id; }
  bool HasPeers() const;
  bool IsLeaving() const;
  const Member* RandomPeer();
  void SpreadDeparture(TimePoint now);

  // failure_detection.cc
  void Heartbeat(TimePoint now);
  void Ping(TimePoint now, const Member& target, std::uint32_t sequence);
  void CheckProbes(TimePoint now);
  void RetryProbe(TimePoint now, std::uint32_t sequence, Probe& probe);
  void AskOthers(std::uint32_t sequence, Probe& probe);
  MemberTable::Pointers PickHelpers(const Member& target);
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
  void Send(const Endpoint& to, detail::GossipWriter& writer);
  void TakeNews(TimePoint now, const gossip::Gossip& in);
  void TakeRecord(TimePoint now, const Member& news, bool is_sync);
  void TakeStateChange(TimePoint now,
                       const detail::StateChange& news,
                       bool is_sync);
  void TakeBroadcast(TimePoint now, const BroadcastItem& item, bool is_sync);
  void SendOwnRecord(TimePoint now, const Endpoint& to, NodeId to_id);
  // Brings the next heartbeat forward, so that news travels sooner.
  void Hurry(TimePoint now);
  // Sends the newest revision on, if it is newer than what was known.
  void NoteRevision(TimePoint now, Revision revision);
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
  NewsQueue m_news;
  BroadcastStore m_broadcasts;
  std::vector<BroadcastItem> m_heard_broadcasts;
  Revision m_newest_revision;
  MembershipCounters m_counters;

  std::uint32_t m_next_sequence = 1;
  std::map<std::uint32_t, Probe> m_probes;
  std::map<std::uint32_t, Relay> m_relays;
  std::map<NodeId, Suspicion> m_suspicions;
  std::vector<Endpoint> m_seeds;
  // Few members are known yet: others may send more at once.
  bool m_is_catching_up = true;
  // Datagrams of sync replies that may still be sent in this sync period.
  std::size_t m_sync_credit = 0;
  // Departure notices still to be sent, one round a heartbeat.
  int m_departure_rounds = 0;

  TimePoint m_next_heartbeat;
  TimePoint m_next_sync;
  TimePoint m_next_dead_ping;
  TimePoint m_next_seed_try;
  Duration m_seed_backoff;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_H_
