// A call at its entry node, as the filters of the pipeline see it.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
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

// What the workspace's contract says of this call. Copied at arrival, so that a
// change of the contract does not alter a call that is under way.
struct CallTerms {
  KindTerms kind;
  double share = 1.0;
  Duration key_retention{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Targets that the call may be handed to.
  std::uint32_t max_hand_overs = std::numeric_limits<std::uint32_t>::max();
};

// One attempt that has been sent and has not ended.
struct Attempt {
  AttemptNumber number;
  Dispatch dispatch;
  bool is_answer_begun = false;
  // One retry of the budget is set aside for the case that it is refused.
  bool has_retry = false;
  // It asked for a fast start.
  bool is_selective = false;
  // Owners refuse too often for the call to ask another one for want of room.
  bool is_bounded = false;
};

struct Call {
  CallId id;
  CallHead head;
  TimePoint arrived_at;
  // For the first byte of the answer.
  TimePoint deadline;
  // Since the caller's first try, as far as that is known.
  Duration waited_before{};
  CallTerms terms;

  // Index of the filter that the call waits in, or the number of filters once
  // it has passed them all.
  std::size_t next_filter = 0;

  // Held until the call ends.
  std::optional<ClaimId> claim;
  bool holds_limit = false;
  bool holds_permit = false;

  std::optional<Attempt> attempt;
  std::uint32_t attempts_made = 0;
  // Of these, those that reached a target, or may have.
  std::uint32_t hand_overs = 0;
  std::vector<NodeId> tried;
  // Of those, the ones that were only too slow.
  OfferList offers;
  // Attempts that asked for a fast start.
  std::uint32_t selective_attempts = 0;
  Reason last_refusal = Reason::kNone;
  // As the owner that was asked last told it.
  LoadReport last_load;
  // Of calls like it, the part that was refused unsent when it came.
  double throttled_share = 0;
  // Some attempt ended without a refusal and without a whole answer.
  bool may_have_run = false;
  // Why, of the last such attempt.
  Reason unknown_reason = Reason::kNone;
  // Nobody is left to be told anything.
  bool is_caller_disconnected = false;
  std::optional<TimePoint> answer_begun_at;
  // The status of the answer that is being relayed.
  int answer_status = 0;
};

// How a call ended.
struct CallEnd {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // The whole answer, for the claims; only with kAnswered.
  StoredAnswer answer;
  // The answer came from an earlier run of the same key.
  bool is_replay = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_H_
