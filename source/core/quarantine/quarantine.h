// Limits the damage by poison requests, which crash the target that they run
// on. Requests that were in flight when a target crashed become suspect on all
// nodes. A suspect runs under a permit: on one target at a time in the fleet,
// and as the only suspect on that target. If it finishes it is cleared; if the
// target crashes it is quarantined.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/limits/rendezvous.h"
#include "core/quarantine/broadcast_port.h"
#include "core/quarantine/permit_home.h"
#include "core/quarantine/quarantine_codec.h"
#include "core/quarantine/quarantine_settings.h"
#include "core/quarantine/suspicion_table.h"

namespace bulrushmount {

// A request that an owner, the node co-located with a target, has admitted to
// that target.
struct AdmittedWork {
  Fingerprint fingerprint;
  // Whether it was admitted as a suspect, with a permit.
  bool is_suspect = false;
};

enum class PermitResult : std::uint8_t {
  // Run the request now, once, with WorkHead::is_suspect set, and call
  // EndPermit.
  kGranted,
  // The request runs elsewhere, is quarantined, or its home does not answer.
  // Refuse the call as not run, with Reason::kQuarantined if it is quarantined,
  // otherwise with Reason::kSuspect.
  kRefused,
  // Reported after kGranted: the home has not renewed the permit within its
  // term. Cancel the run; EndPermit is not needed.
  kLost,
};

// How the run under a permit ended.
enum class PermitEnd : std::uint8_t {
  // The complete response arrived; clears the fingerprint.
  kFinished,
  // The target or its whole node was lost; quarantines the fingerprint.
  kCrashed,
  // Never handed to the target, cancelled, or lost in another way; changes
  // nothing.
  kInconclusive,
};

class Quarantine {
 public:
  using PermitCallback = std::function<void(PermitResult)>;

  // `datagrams` and `broadcasts` must outlive the object.
  Quarantine(const QuarantineSettings& settings,
             const Peer& self,
             DatagramPort& datagrams,
             BroadcastPort& broadcasts,
             TimePoint now);

  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  // --- Entry ---

  // kClear: run the request. kSuspect: request a permit. kQuarantined: refuse
  // the call as not run, with Reason::kQuarantined.
  Verdict Check(TimePoint now, Fingerprint fingerprint);

  // Calls `callback` exactly once with kGranted or kRefused, within
  // QuarantineSettings::permit_timeout and possibly before returning. After
  // kGranted it may call it again with kLost.
  void RequestPermit(TimePoint now,
                     Fingerprint fingerprint,
                     PermitCallback callback);
  void EndPermit(TimePoint now, Fingerprint fingerprint, PermitEnd end);
  // Returns the remaining time of the permit; zero without one. The run must
  // not start after that time.
  Duration PermitTimeLeft(TimePoint now, Fingerprint fingerprint) const;

  // A dispatch without a permit failed with kTargetLost. Makes the request
  // suspect on this node before news from the owner arrives.
  void OnTargetLost(TimePoint now, Fingerprint fingerprint);
  // A dispatch without a permit failed with kNodeLost. The owner may have
  // failed together with the target and cannot report it, so this node informs
  // all others.
  void OnOwnerLost(TimePoint now, Fingerprint fingerprint);
  // An owner refused a dispatch with kSuspect or kQuarantined, because it has
  // news that this entry lacks. Request a permit before the next attempt.
  void OnOwnerRefused(TimePoint now, Fingerprint fingerprint);

  // --- Owner ---

  // Returns kNone if the request may be handed to the target. It must then be
  // reported once, to OnWorkEnded or, if the target crashes, to
  // OnTargetCrashed. Returns kQuarantined for a quarantined request, and
  // kSuspect for a suspect that was sent without a permit or while another
  // suspect runs here.
  Reason AdmitWork(TimePoint now, Fingerprint fingerprint, bool is_suspect);
  void OnWorkEnded(const AdmittedWork& work);

  // The target of this node crashed. `works` are the requests that it was
  // running; OnWorkEnded must not be called for them.
  void OnTargetCrashed(TimePoint now, const std::vector<AdmittedWork>& works);

  // The same for requests whose OnWorkEnded was called before the crash was
  // detected.
  void SuspectEndedWorks(TimePoint now, const std::vector<AdmittedWork>& works);

  // --- All ---

  // All live members; this node is added if it is missing.
  void SetMembers(TimePoint now, std::vector<Peer> members);
  // Handles a datagram of DatagramKind::kQuarantine, without the kind byte.
  void OnDatagram(TimePoint now, const Endpoint& from, std::string_view bytes);
  // Handles a payload that another node gave to BroadcastPort; repeats have no
  // effect.
  void OnBroadcast(TimePoint now, std::string_view payload);
  void OnTimer(TimePoint now);
  // Returns a time at most a third of the pause threshold after the node last
  // ran, so that the node detects that it was paused.
  TimePoint NextWakeup() const;

  // Returns false while a node that was started or paused fetches the news that
  // it has missed, for at most 2 s. The node should not accept calls or work
  // until then.
  bool IsCaughtUp() const;

  std::size_t RecordCount() const { return m_suspicions.size(); }

 private:
  enum class PermitStage : std::uint8_t {
    kAsking,
    kHeld,
    // The run has ended. The return is repeated until the home has received it
    // or the permit would have expired.
    kReturning,
  };

  // A PermitAsk and when it was sent. The term of a permit counts from this
  // time: if it counted from the reply, a delayed reply would extend the term
  // beyond the time until which the home counts the permit.
  struct SentAsk {
    PermitAskNumber number;
    TimePoint sent_at;
  };

  // A permit that this entry requests, holds or returns.
  struct Permit {
    PermitNumber number;
    PermitStage stage = PermitStage::kAsking;
    PermitCallback callback;
    // With kAsking: when to give up. Otherwise: when the permit expires.
    TimePoint ends_at;
    TimePoint next_ask;
    SentAsk last_ask;
    SentAsk previous_ask;
  };

  // Number of copies of one request that run here, by how they were admitted.
  struct RunningCopies {
    std::size_t plain = 0;
    std::size_t suspect = 0;
  };

  // A former member list. A permit granted by the home in that list may be in
  // use.
  struct PastMembers {
    TimePoint until;
    std::vector<Peer> members;
  };

  void NoticePause(TimePoint now);
  void StartCatchUp(TimePoint now);
  void RequestMissedNews(TimePoint now);
  void SendKnownNews(TimePoint now, const Endpoint& to);
  void HandleReturnedMembers(TimePoint now, const std::vector<Peer>& members);
  void RecordAndBroadcast(TimePoint now,
                          Fingerprint fingerprint,
                          SuspicionState state);
  std::optional<SuspicionNews> NewsOf(TimePoint now, Fingerprint fingerprint);
  void SendAsk(TimePoint now, Fingerprint fingerprint, Permit& permit);
  void OnAsk(TimePoint now,
             const Endpoint& from,
             NodeId entry,
             const PermitAsk& ask);
  void OnReply(TimePoint now, const PermitReply& reply);
  void AbandonAsk(TimePoint now, Fingerprint fingerprint, Permit& permit);
  // Removes the permit and calls its callback.
  void FinishPermit(Fingerprint fingerprint, PermitResult result);
  bool IsHome(Fingerprint fingerprint) const;
  bool IsSettledHome(TimePoint now, Fingerprint fingerprint) const;
  bool HasRunningSuspect(TimePoint now);

  QuarantineSettings m_settings;
  Peer m_self;
  DatagramPort& m_datagrams;
  BroadcastPort& m_broadcasts;
  // The last call of NoticePause. A longer gap than the pause threshold means
  // that this node was paused.
  TimePoint m_last_run_at;
  // Since this time another node can have acted as home in place of this one
  // only under a member list in m_past_members.
  TimePoint m_continuous_since;
  // While positive, this node asks others for news that it has missed.
  int m_catch_up_tries = 0;
  // This node was started or paused and has missed news. When a lost member
  // returns, this node fetches news too but continues to serve.
  bool m_has_missed_news = true;
  TimePoint m_next_catch_up;
  // Lost members; oldest first.
  std::deque<NodeId> m_departed;
  std::vector<Peer> m_members;
  // Newest last.
  std::deque<PastMembers> m_past_members;
  SuspicionTable m_suspicions;
  PermitHome m_permit_home;
  // At most one for each fingerprint: a second request for it at this entry is
  // refused while the first waits for its permit or runs.
  std::unordered_map<Fingerprint, Permit> m_permits;
  std::uint64_t m_last_permit = 0;
  std::uint64_t m_last_ask = 0;
  // Requests that run on the target of this node. The counts of an item are
  // never both zero.
  std::unordered_map<Fingerprint, RunningCopies> m_running;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_H_
