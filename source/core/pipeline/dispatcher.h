// Sends an accepted call to owners of targets, one attempt at a time, until it
// is answered or ends with a refusal that states correctly whether it may have
// run.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_DISPATCHER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_DISPATCHER_H_

#include <cstdint>
#include <optional>

#include "core/claims/claim_book.h"
#include "core/common/random.h"
#include "core/membership/member.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"
#include "core/pipeline/answer_profiles.h"
#include "core/pipeline/ask_budget.h"
#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/shed_shares.h"
#include "core/pipeline/slowdown_threshold.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"
#include "core/routing/target_notices.h"

namespace bulrushmount {

// Receives the actions that the node has to carry out.
class ActionSink {
 public:
  virtual ~ActionSink() = default;

  virtual void Push(NodeAction action) = 0;
};

// Finds the address of an owner that the router picked.
class OwnerDirectory {
 public:
  virtual ~OwnerDirectory() = default;

  // Null if the node is no longer a live member.
  virtual const Member* FindOwner(NodeId node) const = 0;
};

// Is notified of calls that are sent to an owner after an attempt that has
// reached a target, or may have: their target may be the second one to which
// the request is forwarded.
class RepeatListener {
 public:
  virtual ~RepeatListener() = default;

  // Called once for each such attempt that may add a hand-over.
  virtual void OnRepeated(TimePoint now, const Call& call) = 0;
};

struct DispatcherSettings {
  NodeId self;
  AvailabilityZone zone;
  // See NodeSettings.
  Duration zone_kilobyte{};
  double zone_spare_time_part = 0;
  std::uint32_t max_attempts = 4;
  // See NodeSettings.
  bool refusals_cost_no_retry = false;
  // Attempts carry the time left of the latency objective.
  bool has_objectives = false;
  // Number of owners tried for a fast start before the call takes the fastest
  // start that was offered; 0: any start is accepted. Each attempt costs a
  // round trip.
  std::uint32_t selective_attempts = 0;
  // See PolicySwitches.
  bool accepts_near_best = true;
  bool leaves_silent_owners = true;
  // Limits the attempts per call when most owners refuse; see AskBudget.
  bool bounds_refusals = false;
  // Answers up to this size are stored for replay to repeats of a request with
  // an idempotency key.
  std::size_t max_kept_answer_bytes = std::size_t{16} * 1024;
};

// Dispatches calls and decides on retries. After a refusal the request has
// certainly not run, so any request may be retried within the retry budget.
// After an unknown outcome only a repeatable request is retried, and only once.
class Dispatcher {
 public:
  struct Parts {
    CallPipeline& pipeline;
    Router& router;
    RetryBudget& retries;
    ClaimBook& claims;
    TargetNotices& notices;
    const OwnerDirectory& owners;
    RandomSource& random;
    ActionSink& actions;
    // May be null.
    RepeatListener* repeats = nullptr;
  };

  // The parts must outlive the object.
  Dispatcher(const DispatcherSettings& settings, const Parts& parts);

  void SetFleetSize(std::size_t nodes) { m_ask_budget.SetFleetSize(nodes); }

  const ShedShares& shed_shares() const { return m_shed_shares; }

  void Start(TimePoint now, Call& call);

  void OnRefused(TimePoint now, const AttemptRefused& event);
  void OnAnswerBegun(TimePoint now, const AttemptAnswerBegun& event);
  void OnAnswerEnded(TimePoint now, const AttemptAnswerEnded& event);
  void OnLost(TimePoint now, const AttemptLost& event);
  // Load pattern: a node disappears without closing its connections, and until
  // these time out every request sent to it waits, most of them until their
  // deadline. A repeatable request is retried elsewhere at once. A
  // non-repeatable one keeps waiting, since the node may have handed it to the
  // target and may become reachable again.
  void OnSilent(TimePoint now, const AttemptSilent& event);
  void OnStalled(TimePoint now, CallId call);
  void OnCallerDisconnected(TimePoint now, CallId call);
  void OnDeadline(TimePoint now, Call& call);
  void OnPermitLost(TimePoint now, Call& call);
  // This process did not run for some time until `now`: attempts in progress
  // are no samples of the time that targets take, and their load reports may
  // be old.
  void OnPaused(TimePoint now);

 private:
  // Null if the event belongs to an attempt that is no longer current.
  Call* FindAttempt(CallId call, AttemptNumber attempt);
  void TryNextOwner(TimePoint now, Call& call);
  // Picks the next owner; sets `is_selective` if it may refuse because its
  // target is slow.
  std::optional<NodeId> PickOwner(TimePoint now,
                                  Call& call,
                                  bool& is_selective);
  bool MaySend(TimePoint now, Call& call);
  std::optional<NodeId> TakeOffer(TimePoint now, Call& call);
  void Send(TimePoint now, Call& call, const Member& owner, bool is_selective);
  // Whether any owner is left to try after the attempts made so far.
  bool HasOtherOwners(const Call& call) const;
  // Reserves a retry for the attempt about to be sent, if another target could
  // take it; EndAttempt spends or returns it.
  bool ReserveRetry(TimePoint now, const Call& call);
  // Whether the call may try another owner after a refusal; see AskBudget.
  bool MayTryAnotherOwner(TimePoint now, const Call& call);
  WorkHead MakeWorkHead(TimePoint now,
                        const Call& call,
                        const Member& owner) const;
  void RecordLoadReport(TimePoint now, Call& call, const LoadReport& load);
  double AcceptableSlowdown(TimePoint now, const Call& call) const;
  // Cost of transferring the answer between zones, expressed as a delay.
  Duration CrossZoneDelay(const Call& call) const;
  // How much later the call may start to stay in its zone; at least
  // CrossZoneDelay.
  Duration ZoneAdvantage(TimePoint now, const Call& call) const;
  // The same for the choice between offers, as a difference of slowdowns.
  double OfferAdvantage(TimePoint now, const Call& call) const;
  bool IsInOwnZone(NodeId owner) const;
  Duration MaxHold(TimePoint now, const Call& call, const Member& owner) const;
  // Whether an attempt with an unknown outcome may be followed by another.
  bool MayRetryUnknownOutcome(const Call& call, Reason reason) const;
  // Removes the call's current attempt. Returns true if the call is to be sent
  // again; the retry is then counted.
  bool EndAttempt(TimePoint now,
                  Call& call,
                  bool may_retry,
                  bool reached_target);
  bool TakeRetry(TimePoint now, const Call& call);
  // Ends a call whose request can no longer be sent, with the refusal of its
  // last owner.
  void EndUnsent(TimePoint now, Call& call);
  bool MayLeaveSilentOwner(const Call& call) const;
  void GiveUp(TimePoint now, Call& call, Reason reason);
  // Cancels an attempt in progress and records that it may have run.
  void AbandonAttempt(TimePoint now, Call& call, Reason reason);
  static void RecordUnknownOutcome(Call& call, Reason reason);

  // Whether the process was paused after the attempt was sent.
  bool WasPausedSince(const Dispatch& dispatch) const {
    return m_resumed_at && dispatch.sent_at < *m_resumed_at;
  }

  DispatcherSettings m_settings;
  Parts m_parts;
  // End of the last pause of this process.
  std::optional<TimePoint> m_resumed_at;
  SlowdownThreshold m_slowdown_threshold;
  AskBudget m_ask_budget;
  AnswerProfiles m_profiles;
  ShedShares m_shed_shares;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_DISPATCHER_H_
