// The state of a call at its entry node, as the filters of the pipeline see it.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

#include "core/claims/claim_types.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"
#include "core/node_logic/call_types.h"
#include "core/pipeline/offer_list.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

// The terms of the contract or route that apply to this call. Copied at
// arrival, so that a configuration change does not alter a call in progress.
struct CallTerms {
  KindTerms kind;
  double share = 1.0;
  Duration key_retention{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of targets that the call may be handed to.
  std::uint32_t max_hand_overs = std::numeric_limits<std::uint32_t>::max();
  // The load balancer identifies the workspaces of requests: the key and the
  // workspace that the caller has sent are not forwarded.
  bool are_workspaces_checked = false;
};

// An attempt that was sent to an owner and has not ended.
struct Attempt {
  AttemptNumber number;
  Dispatch dispatch;
  bool is_answer_begun = false;
  // A retry is reserved for the case that this attempt is refused.
  bool has_retry = false;
  // The owner may refuse it if the target cannot start it quickly.
  bool is_selective = false;
  // The ask budget is spent: a refusal for lack of capacity ends the call.
  bool is_ask_budget_spent = false;
};

struct Call {
  CallId id;
  CallHead head;
  TimePoint arrived_at;
  // Time by which the first byte of the answer must arrive.
  TimePoint deadline;
  // Time by which the answer must be complete; not before `deadline`.
  TimePoint answer_deadline = TimePoint::max();
  // Estimated time between the caller's first attempt and this one; 0 if
  // unknown.
  Duration waited_before{};
  CallTerms terms;

  // Index of the filter that currently holds the call, or the number of filters
  // once it has passed them all.
  std::size_t next_filter = 0;

  // Resources held until the call ends.
  std::optional<ClaimId> claim;
  bool holds_limit = false;
  bool holds_permit = false;

  std::optional<Attempt> attempt;
  std::uint32_t attempts_made = 0;
  // Attempts that reached a target or may have reached one.
  std::uint32_t hand_overs = 0;
  // Hand-overs for which the workspace has been charged; the first one when the
  // call was admitted.
  std::uint32_t charged_hand_overs = 1;
  std::vector<NodeId> tried;
  // Owners in `tried` that refused only because their target was too slow.
  OfferList offers;
  // Owners of this node's zone that refused for lack of capacity.
  std::uint32_t refusals_in_zone = 0;
  // Number of attempts with `is_selective` set.
  std::uint32_t selective_attempts = 0;
  Reason last_refusal = Reason::kNone;
  // Load report of the most recent owner.
  LoadReport last_load;
  // Share of calls of its class that were throttled when it arrived.
  double throttled_share = 0;
  // An attempt ended with neither a refusal nor a complete answer.
  bool may_have_run = false;
  // Reason of the last such attempt.
  Reason unknown_reason = Reason::kNone;
  // The caller's connection is closed; no result can be delivered.
  bool is_caller_disconnected = false;
  std::optional<TimePoint> answer_begun_at;
  // The status of the answer that is being relayed.
  int answer_status = 0;

  // Remaining time of the latency objective, which counts from the first
  // attempt of the caller.
  Duration ObjectiveLeft(TimePoint now) const {
    return terms.kind.objective.within - waited_before - (now - arrived_at);
  }
};

// How a call ended.
struct CallEnd {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // The complete answer, recorded with the claim; only with kAnswered.
  StoredAnswer answer;
  // The answer is replayed from an earlier request with the same idempotency
  // key.
  bool is_replay = false;
  // Sent to the caller instead of the default of the reason.
  std::optional<Duration> retry_after{};
  // For the log line: what the reason was decided on. Static text.
  std::string_view detail{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_H_
