// Sends an accepted call to the owners of targets, one attempt after another,
// until it has an answer or a truthful refusal.

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
#include "core/pipeline/slowdown_threshold.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"

namespace bulrushmount {

// Where the actions go.
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

struct DispatcherSettings {
  NodeId self;
  AvailabilityZone zone;
  // See NodeSettings.
  Duration zone_kilobyte{};
  std::uint32_t max_attempts = 4;
  // See NodeSettings.
  bool is_refusal_free = false;
  // Owners are told until when an answer is worth its full credit.
  bool has_objectives = false;
  // Owners that are asked for a fast start before the call takes the least
  // slow one that was found; 0: any start will do. Each costs a round trip.
  std::uint32_t selective_attempts = 0;
  // See PolicySwitches.
  bool accepts_hardly_worse = true;
  bool leaves_silent_owners = true;
  // The owners asked for each call are bounded where most of them refuse.
  bool bounds_refusals = false;
  // Answers up to this size are kept for the repeats of a keyed request.
  std::size_t max_kept_answer_bytes = std::size_t{16} * 1024;
};

// The rules of another attempt: after a refusal, which is certainly not run,
// any request may be sent again within the retry budget; after an unknown
// outcome only a repeatable one, once.
class Dispatcher {
 public:
  struct Parts {
    CallPipeline& pipeline;
    Router& router;
    RetryBudget& retries;
    ClaimBook& claims;
    const OwnerDirectory& owners;
    RandomSource& random;
    ActionSink& actions;
  };

  // The parts must outlive the object.
  Dispatcher(const DispatcherSettings& settings, const Parts& parts);

  void SetFleetSize(std::size_t nodes) { m_asks.SetFleetSize(nodes); }

  void Start(TimePoint now, Call& call);

  void OnRefused(TimePoint now, const AttemptRefused& event);
  void OnAnswerBegun(TimePoint now, const AttemptAnswerBegun& event);
  void OnAnswerEnded(TimePoint now, const AttemptAnswerEnded& event);
  void OnLost(TimePoint now, const AttemptLost& event);
  // Load pattern: a node is gone without a word, and until its connections are
  // given up everything sent to it waits, most of it to the end of its time.
  // What may be repeated goes elsewhere at once; what may not waits on, since
  // the node may have handed it over and be back.
  void OnSilent(TimePoint now, const AttemptSilent& event);
  void OnStalled(TimePoint now, CallId call);
  void OnCallerDisconnected(TimePoint now, CallId call);
  void OnDeadline(TimePoint now, Call& call);
  void OnPermitLost(TimePoint now, Call& call);

 private:
  // Null if the event is about an attempt that is no longer the call's.
  Call* FindAttempt(CallId call, AttemptNumber attempt);
  void TryNextOwner(TimePoint now, Call& call);
  // The owner to ask next; sets `is_selective` if it may refuse for slowness.
  std::optional<NodeId> PickOwner(TimePoint now,
                                  Call& call,
                                  bool& is_selective);
  bool MaySend(TimePoint now, Call& call);
  std::optional<NodeId> TakeOffer(TimePoint now, Call& call);
  void Send(TimePoint now, Call& call, const Member& owner, bool is_selective);
  // Whether anybody is left to ask after the attempts made so far.
  bool HasOthers(const Call& call) const;
  // Sets a retry aside for the attempt about to be sent, where another target
  // could take it; EndAttempt spends or returns it.
  bool ReserveRetry(TimePoint now, const Call& call);
  // Whether it may be refused and sent to another owner; see AskBudget.
  bool MayAskMore(TimePoint now, const Call& call);
  WorkHead MakeWorkHead(TimePoint now,
                        const Call& call,
                        const Member& owner) const;
  void RecordReport(TimePoint now, Call& call, const LoadReport& load);
  double AcceptableSlowdown(TimePoint now, const Call& call) const;
  // What the answer's bytes would cost between zones, as a wait.
  Duration ZoneTransfer(const Call& call) const;
  Duration MaxHold(TimePoint now, const Call& call, const Member& owner) const;
  // Whether an attempt whose outcome is unknown may be followed by another.
  bool MaySendUnknown(const Call& call, Reason reason) const;
  // Takes the call's attempt away. True if the call is to be sent again: the
  // retry is then counted.
  bool EndAttempt(TimePoint now,
                  Call& call,
                  bool is_worth_it,
                  bool has_arrived);
  bool TakeRetry(TimePoint now, const Call& call);
  bool MayLeaveSilentOwner(const Call& call) const;
  void GiveUp(TimePoint now, Call& call, Reason reason);
  // Gives up an attempt that is under way: it may have run.
  void AbandonAttempt(TimePoint now, Call& call, Reason reason);
  static void RecordUnknown(Call& call, Reason reason);

  DispatcherSettings m_settings;
  Parts m_parts;
  SlowdownThreshold m_slowdown_threshold;
  AskBudget m_asks;
  AnswerProfiles m_profiles;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_DISPATCHER_H_
