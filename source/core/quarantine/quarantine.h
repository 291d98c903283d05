// Requests that crash the target they run on. What was in flight when a target
// went down is suspect everywhere; a suspect runs alone among suspects on its
// target and nowhere else at the same time; finishing clears it, and a crash
// under those terms convicts it.

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

// A request that an owner admitted to its target.
struct AdmittedWork {
  Fingerprint fingerprint;
  // It was admitted as a suspect, with a permit.
  bool is_suspect = false;
};

enum class PermitResult : std::uint8_t {
  // Run it now, once, with WorkHead::is_suspect set, and call EndPermit.
  kGranted,
  // It runs elsewhere, is convicted, or its home is silent: refuse the call as
  // not run, Reason::kQuarantined if it is convicted, else Reason::kSuspect.
  kRefused,
  // After kGranted: the home has not confirmed the permit in its term. Cancel
  // the run; EndPermit is not needed.
  kLost,
};

// How the run under a permit ended.
enum class PermitEnd : std::uint8_t {
  // The whole answer came: clears the fingerprint.
  kFinished,
  // The target, or its whole node, was lost: convicts it.
  kCrashed,
  // Never handed over, cancelled, or lost in another way: proves nothing.
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

  // kClear: run it. kSuspect: ask for a permit. kConvicted: refuse the call as
  // not run, Reason::kQuarantined.
  Verdict Check(TimePoint now, Fingerprint fingerprint);

  // Calls back exactly once with kGranted or kRefused, at the latest after
  // QuarantineSettings::permit_timeout, possibly before it returns.
  void RequestPermit(TimePoint now,
                     Fingerprint fingerprint,
                     PermitCallback callback);
  void EndPermit(TimePoint now, Fingerprint fingerprint, PermitEnd end);
  // What is left of the permit; zero without one. A suspect's run must not
  // begin later.
  Duration PermitTimeLeft(TimePoint now, Fingerprint fingerprint) const;

  // A dispatch without a permit failed with kTargetLost: it is suspect here
  // before the owner's news has come round.
  void OnTargetLost(TimePoint now, Fingerprint fingerprint);
  // Such a dispatch was lost with kNodeLost: its owner may have gone down with
  // the target and can tell nobody, so this tells all.
  void OnOwnerLost(TimePoint now, Fingerprint fingerprint);
  // An owner refused a dispatch with kSuspect or kQuarantined: it knows more
  // than this entry. Ask for a permit before the next try.
  void OnOwnerRefused(TimePoint now, Fingerprint fingerprint);

  // --- Owner ---

  // kNone: it may be handed to the target; it then owes one OnWorkEnded or, at
  // a crash, its place in OnTargetCrashed. kQuarantined: convicted. kSuspect: a
  // suspect whose entry does not know, or another suspect runs here.
  Reason AdmitWork(TimePoint now, Fingerprint fingerprint, bool is_suspect);
  void OnWorkEnded(const AdmittedWork& work);

  // The target beside this node went down with `works` handed to it and not
  // ended; these owe no OnWorkEnded.
  void OnTargetCrashed(TimePoint now, const std::vector<AdmittedWork>& works);

  // The same for works whose OnWorkEnded was called before it was known that
  // the target went down.
  void SuspectEnded(TimePoint now, const std::vector<AdmittedWork>& works);

  // --- All ---

  // All live members; this node is added if it is missing.
  void SetMembers(TimePoint now, std::vector<Peer> members);
  // A datagram of DatagramKind::kQuarantine, without its kind's byte.
  void OnDatagram(TimePoint now, const Endpoint& from, std::string_view bytes);
  // What another node gave to BroadcastPort; repeats do no harm.
  void OnBroadcast(TimePoint now, std::string_view payload);
  void OnTimer(TimePoint now);
  // Never far off: a node notices by it that it was stopped.
  TimePoint NextWakeup() const;

  // False while a node that is new, or was stopped, asks for the news it has
  // missed, for 2 s at most. It should not take calls or work until then.
  bool IsCaughtUp() const;

  std::size_t RecordCount() const { return m_suspicions.size(); }

 private:
  enum class PermitStage : std::uint8_t {
    kAsking,
    kHeld,
    // The run is over; repeated until the home has heard it, or the permit
    // would be void anyway.
    kReturning,
  };

  // When an ask was sent: the term counts from then. Counted from the reply, a
  // delayed reply would stretch it beyond the home's count.
  struct SentAsk {
    PermitAskNumber number;
    TimePoint sent_at;
  };

  // A permit that this entry asks for, holds or gives back.
  struct Permit {
    PermitNumber number;
    PermitStage stage = PermitStage::kAsking;
    PermitCallback callback;
    // kAsking: when to give up. Else: when the permit is void.
    TimePoint ends_at;
    TimePoint next_ask;
    SentAsk last_ask;
    SentAsk previous_ask;
  };

  // Copies of one request that run here, by how they were admitted.
  struct RunningCopies {
    std::size_t plain = 0;
    std::size_t suspect = 0;
  };

  // Members until a change of late: a permit of that time's home may be in use.
  struct PastMembers {
    TimePoint until;
    std::vector<Peer> members;
  };

  void NoticePause(TimePoint now);
  void StartCatchUp(TimePoint now);
  void AskForKnown(TimePoint now);
  void ReportKnown(TimePoint now, const Endpoint& to);
  void NoticeReturns(TimePoint now, const std::vector<Peer>& members);
  void NoteAndSpread(TimePoint now,
                     Fingerprint fingerprint,
                     SuspicionState state);
  std::optional<SuspicionNews> NewsOf(TimePoint now, Fingerprint fingerprint);
  void SendAsk(TimePoint now, Fingerprint fingerprint, Permit& permit);
  void OnAsk(TimePoint now,
             const Endpoint& from,
             NodeId entry,
             const PermitAsk& ask);
  void OnReply(TimePoint now, const PermitReply& reply);
  void GiveUp(TimePoint now, Fingerprint fingerprint, Permit& permit);
  // Takes the permit out and calls back.
  void End(Fingerprint fingerprint, PermitResult result);
  bool IsHome(Fingerprint fingerprint) const;
  bool IsSettledHome(TimePoint now, Fingerprint fingerprint) const;
  bool RunsSuspect(TimePoint now);

  QuarantineSettings m_settings;
  Peer m_self;
  DatagramPort& m_datagrams;
  BroadcastPort& m_broadcasts;
  // The last time that the node ran.
  TimePoint m_ran_at;
  // Since then no other node can have become a home in place of this one
  // without m_past_members telling of it.
  TimePoint m_unbroken_since;
  // While positive, this node asks others for what it has missed.
  int m_catch_up_tries = 0;
  // It has missed news for certain. A node that another one comes back to asks
  // too, but goes on.
  bool m_is_behind = true;
  TimePoint m_next_catch_up;
  // Members that were lost; oldest first.
  std::deque<NodeId> m_departed;
  std::vector<Peer> m_members;
  // Newest last.
  std::deque<PastMembers> m_past_members;
  SuspicionTable m_suspicions;
  PermitHome m_permit_home;
  // At most one for each fingerprint: a second request here is refused while
  // the first asks or runs.
  std::unordered_map<Fingerprint, Permit> m_permits;
  std::uint64_t m_last_permit = 0;
  std::uint64_t m_last_ask = 0;
  // What runs on the target beside this node. Never both counts zero.
  std::unordered_map<Fingerprint, RunningCopies> m_running;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_H_
