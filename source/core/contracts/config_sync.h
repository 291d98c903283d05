// Keeps a node's configuration up to date: learns of newer revisions from peers
// and by polling or watching the table, fetches the missing changes, and
// notifies other nodes.
//
// Bytes between availability zones are expensive. A node prefers the peers of
// its own zone: it fetches from one of them, and waits a short time for one to
// have the change before it asks another zone. For each revision a few nodes of
// each zone, selected by a hash, are notified by the other zones and ask them
// at once. A node that knows no zone, no peer in its own zone or no peer in
// another one treats all peers alike.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_SYNC_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_SYNC_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/contracts/config_reader.h"
#include "core/contracts/config_transfer.h"
#include "core/contracts/confirmation_source.h"
#include "core/contracts/contract_store.h"
#include "core/evacuation/evacuation_table.h"

namespace bulrushmount {

struct ConfigSyncSettings {
  // Polls of the revision row per second by the whole fleet together.
  double fleet_polls_per_second = 2.0;
  // Table fetches per second by all nodes together that no peer can serve.
  double fleet_fetches_per_second = 500.0;
  // A new node reads the table at a random time within this window.
  Duration startup_window = std::chrono::seconds(2);
  // If the table can be watched, a few nodes watch it and the others learn of
  // changes from peers. The others still read the table at this rate, together,
  // in case all watchers have lost the table without being detected.
  double fleet_checks_per_second = 1.0;
  // Delay from the start until the first check is scheduled; by then the
  // members are known.
  Duration check_delay = std::chrono::seconds(5);
  // A new node that is unlikely to find a peer reads the table within this
  // window.
  Duration read_window_without_peers = std::chrono::milliseconds(300);
  // The same if peers are likely: one of hundreds of nodes reads at once, and
  // nearly all others receive its configuration before their turn comes.
  Duration read_window_with_peers = std::chrono::milliseconds(1500);
  // Delay of the first table read if the member directory has not been read by
  // then.
  Duration initial_table_delay = std::chrono::seconds(2);
  // After this time a request to a peer counts as lost.
  Duration peer_timeout = std::chrono::milliseconds(250);
  // Jitter before the first request, so that not all nodes ask the same peer at
  // once.
  Duration first_request_jitter = std::chrono::milliseconds(50);
  // Number of failed requests to peers before the node reads the table.
  std::uint32_t peer_attempts = 3;
  // Once per period a node sends its revision in force to one random peer.
  Duration pulse_period = std::chrono::seconds(2);
  // After a failed watch, the table is read again within this window.
  Duration reread_window = std::chrono::milliseconds(200);
  // Pulse period for a while after an evacuation began or ended: peers that
  // missed the first messages must not start work in an evacuated zone for
  // long.
  Duration fast_pulse_period = std::chrono::milliseconds(400);
  Duration fast_pulse_duration = std::chrono::seconds(5);
  // Number of peers notified at once when a newer configuration comes into
  // force.
  std::uint32_t push_fanout = 4;
  // If set, the age of confirmation stays below this at all nodes that reach
  // each other while any of them can read the table, and it is never reported
  // as lower than it is, however late datagrams and responses are handled.
  std::optional<Duration> max_confirmation_age{};

  // This node. An empty zone: all peers are treated alike.
  NodeId self;
  AvailabilityZone zone;
  // Number of nodes per zone that fetch a change from another zone at once.
  // Two, so that one may be dead or cut off.
  std::size_t fetchers_per_zone = 2;
  // A fetcher waits this long, plus first_request_jitter, for a node of its own
  // zone that watches the table: its response comes at about the same time.
  Duration fetcher_wait = std::chrono::milliseconds(50);
  // All others wait for a node of their own zone for one to two times as long
  // as this.
  Duration far_wait = std::chrono::milliseconds(200);
  // A node that distinguishes zones repeats its notification of a new revision
  // this often, to peers of its zone that it does not know to have it.
  std::uint32_t push_repetitions = 3;
  std::uint32_t repeated_push_fanout = 2;
  Duration push_interval = std::chrono::milliseconds(150);
  // A node that distinguishes zones requests missing chunks this long after the
  // last one has arrived: the others were sent at the same time.
  Duration chunk_timeout = std::chrono::milliseconds(60);
  // Fraction of the pulses that goes to other zones.
  double far_pulse_fraction = 0.125;
};

// Maximum duration of a watch, so that a watcher's confirmation takes up a
// small part of the permitted age: 1 s of 5 s.
inline Duration MaxWatchTime(Duration max_confirmation_age) {
  return max_confirmation_age / 5;
}

// Upper bounds of the fleet's table reads, as a mean over one second:
// fleet_polls_per_second, and while peers cannot serve the configuration,
// fleet_fetches_per_second * (1 + kMaxSingleReads), which is 1,500.
class ConfigSync : public ConfirmationSource {
 public:
  // All references must outlive the object, and the object must outlive its
  // requests.
  ConfigSync(const ConfigSyncSettings& settings,
             ContractStore& store,
             EvacuationTable& evacuations,
             std::unique_ptr<ConfigReader> reader,
             DatagramPort& port,
             RandomSource& random,
             TimePoint now);

  ConfigSync(const ConfigSync&) = delete;
  ConfigSync& operator=(const ConfigSync&) = delete;

  // If the table can be watched: whether this node watches it or relies on
  // other nodes.
  void SetWatchDuty(TimePoint now, bool is_on_duty);

  // If the table can be watched: whether watchers take part in the periodic
  // checks of the table. A watch whose response is lost reports no change until
  // its time limit, and in a small fleet nearly all nodes are watchers.
  void SetWatchersCheck(bool do_check) { m_do_watchers_check = do_check; }

  // Reports whether peers are likely to exist; called shortly after the start.
  // Until then a new node waits up to initial_table_delay before it reads the
  // table.
  void OnPeersExpected(TimePoint now, bool are_likely);

  // The last response of the table was valid, or none has arrived yet.
  bool is_table_available() const { return m_is_table_available; }

  // Number of live members including this node, at least 1. Determines the poll
  // interval.
  void SetMemberCount(TimePoint now, std::size_t count);

  // Gossip reports that a live peer has `revision` in force. `endpoint` is the
  // peer's gossip address.
  void OnPeerRevision(TimePoint now,
                      NodeId node,
                      const AvailabilityZone& zone,
                      const Endpoint& endpoint,
                      Revision revision);
  // The peer has left or died.
  void OnPeerRemoved(const Endpoint& endpoint);

  // A change that was written through this node has been committed.
  void OnLocalCommit(TimePoint now, const ConfigChange& change);

  // Handles the payload of a kConfig datagram. Ignores invalid payloads.
  void OnDatagram(TimePoint now,
                  const Endpoint& from,
                  std::string_view payload);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  // The newest revision that this node knows of; higher than the store's while
  // a fetch is in progress.
  Revision newest_known() const {
    return m_target.value() > m_store.revision().value() ? m_target
                                                         : m_store.revision();
  }

  // Time since the configuration in force was last confirmed as the newest, by
  // a table read of this node or of a peer. Empty if it never was. Without
  // max_confirmation_age it does not include the transit times of datagrams
  // between nodes.
  std::optional<Duration> AgeOfConfirmation(TimePoint now) const override;

 private:
  enum class FetchState : std::uint8_t {
    kIdle,
    // Waits before it sends a request to m_source, or else to any peer.
    kPeerDelay,
    // A request to m_asked_peer is outstanding.
    kPeerAsked,
    kTableDelay,
    kTableReading,
  };

  struct SentToken {
    std::uint64_t token = 0;
    TimePoint at;
  };

  struct Peer {
    NodeId node;
    Revision revision;
    // In another availability zone than this node.
    bool is_far = false;
    AvailabilityZone zone;
  };

  // When this node reads the table because its confirmation is getting old;
  // TimePoint::max() for never.
  TimePoint NextConfirmingRead() const;
  Duration PollInterval() const;
  void SchedulePoll(TimePoint now);
  Duration Jittered(Duration mean);
  // Exponentially distributed, i.e. memoryless: after all nodes started at
  // once, their polls do not come in waves with minutes without a poll in
  // between.
  Duration Exponential(Duration mean);
  Duration RandomUpTo(Duration bound);

  void OnRevisionReported(TimePoint now,
                          const Endpoint& from,
                          Revision revision);
  void OnPulse(TimePoint now, const Endpoint& from, const RevisionPulse& pulse);
  void OnChunk(TimePoint now, const Endpoint& from, const BatchChunk& chunk);
  void ApplyEvacuationRead(TimePoint now, const EvacuationRead& read);
  void MergePeerEvacuations(TimePoint now,
                            const Endpoint& from,
                            const RevisionPulse& pulse);
  void AnnounceEvacuations(TimePoint now);
  Duration PulsePeriod(TimePoint now) const;
  // Whether the peer has a confirmation that is older than this node's by so
  // much that it should receive this node's at once.
  bool LacksConfirmation(TimePoint now, const RevisionPulse& pulse) const;
  void TakeConfirmation(TimePoint now, const RevisionPulse& pulse);
  RevisionPulse MakePulse(TimePoint now) const;
  void SendPulse(TimePoint now, const Endpoint& to);
  void SendAnswer(TimePoint now,
                  const Endpoint& to,
                  std::uint64_t answered_token);
  std::uint64_t NewToken(TimePoint now);
  void SendPulses(TimePoint now, std::uint32_t count);
  void NotifyFetchers(TimePoint now);
  void RepeatPush(TimePoint now);

  // Whether there are peers both in this zone and in others.
  bool DistinguishesZones() const;
  bool IsFar(const Endpoint& endpoint) const;
  bool IsFetcher(Revision revision) const;
  Duration DelayOfFirstRequest(const Endpoint& from, Revision revision);
  std::optional<Endpoint> RandomPeer(bool is_far);

  void AdvanceFetch(TimePoint now);
  void RequestFromPeer(TimePoint now);
  void SendRequest(TimePoint now);
  void OnPeerFailed(TimePoint now);
  void ScheduleTableRead(TimePoint now);
  std::optional<Endpoint> PickSource();
  std::optional<Endpoint> PickNewerPeer(bool accepts_far);

  // Called for each table response. A watch is answered when a change happens,
  // and an idle watcher gets one response per kWatchTime.
  void RecordTableState(TimePoint now, bool is_available);
  void StartWatch(TimePoint now);
  void ResumeWatching(TimePoint now);
  void OnWatched(TimePoint now, const ConfigReadResult& result);
  void ReadTable(TimePoint now);
  void OnTableRead(TimePoint now, const ConfigReadResult& result);
  // `from` is the peer that sent the batch; empty if it came from the table.
  void Apply(TimePoint now,
             const ConfigBatch& batch,
             const std::optional<Endpoint>& from);
  void FinishFetch();

  const ConfigSyncSettings m_settings;
  ContractStore& m_store;
  EvacuationTable& m_evacuations;
  DatagramPort& m_port;
  RandomSource& m_random;
  std::unique_ptr<ConfigReader> m_reader;
  ConfigUploader m_uploader;

  std::size_t m_member_count = 1;
  std::unordered_map<Endpoint, Peer> m_peers;
  // Number of peers with is_far.
  std::size_t m_far_peers = 0;
  TimePoint m_next_poll;
  // The mean interval that m_next_poll was drawn with; 0 before the first draw.
  Duration m_poll_interval{};
  TimePoint m_next_pulse;
  std::uint32_t m_pushes_left = 0;
  // Meaningful while m_pushes_left > 0.
  TimePoint m_next_push;
  // The revision in force came from the table or from another zone, so the
  // other zones may not have it.
  bool m_notifies_fetchers = false;
  // Pulses use fast_pulse_period until then.
  TimePoint m_fast_pulses_until;

  FetchState m_fetch_state = FetchState::kIdle;
  // The deadline of kPeerDelay, kPeerAsked and kTableDelay.
  TimePoint m_fetch_at;
  // The newest revision that any peer has reported.
  Revision m_target;
  std::optional<Endpoint> m_source;
  Endpoint m_asked_peer;
  // Set if and only if m_fetch_state is kPeerAsked.
  std::optional<ConfigDownload> m_download;
  std::uint32_t m_peer_attempts = 0;
  // When this fetch may read the table. Drawn once per fetch, so that reports
  // from further peers do not postpone it.
  std::optional<TimePoint> m_table_at;
  std::uint32_t m_table_failures = 0;

  bool m_is_on_duty = false;
  bool m_do_watchers_check = false;
  bool m_is_watching = false;
  // The last response of the table was valid.
  bool m_is_table_available = true;
  TimePoint m_read_started;
  TimePoint m_watch_started;
  std::optional<TimePoint> m_confirmed_at;
  // No confirming read before this time.
  TimePoint m_next_confirming_read;
  // The last pulses that may be answered with a confirmation, oldest first, at
  // most kMaxTokens. Empty without max_confirmation_age.
  std::deque<SentToken> m_tokens;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_SYNC_H_
