// The three outcomes of a call, and the reasons why a call got no response from
// a target. Both are sent between nodes and to the caller.

#ifndef BULRUSHMOUNT_CORE_COMMON_OUTCOME_H_
#define BULRUSHMOUNT_CORE_COMMON_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/common/time.h"

namespace bulrushmount {

enum class Outcome : std::uint8_t {
  // The target's complete response was relayed.
  kAnswered,
  // No byte of the request was sent to a target, or the target shed it.
  kNotRun,
  // The request was sent, and no complete response arrived: it may have run.
  kUnknown,
};

// Why a call did not get a target's response. The values are sent between
// nodes: append new ones, never renumber.
enum class Reason : std::uint8_t {
  kNone = 0,
  // Faults of the request.
  kMalformedRequest = 1,
  kHeadTooLarge = 2,
  kUnknownWorkspace = 3,
  kUnknownService = 4,
  kUnknownKind = 5,
  kIdempotencyKeyRequired = 6,
  kIdempotencyKeyReused = 7,
  // Limits of the workspace.
  kWorkspaceRateLimit = 8,
  kWorkspaceInFlightLimit = 9,
  // State of the system.
  kNoTarget = 10,
  kOverloaded = 11,
  kDeadlineTooShort = 12,
  kDraining = 13,
  kShed = 14,
  kConnectFailed = 15,
  kQuarantined = 16,
  kStoreUnavailable = 17,
  kConfigurationUnknown = 18,
  kNodeUnreachable = 19,
  kRetryBudgetSpent = 20,
  // A repeated request with an idempotency key whose first execution has no
  // response to return.
  kInProgress = 21,
  kEarlierOutcomeUnknown = 22,
  // Failures after the request was sent to a target. The answer was lost, or is
  // none; the target may be running.
  kTargetLost = 23,
  kNodeLost = 24,
  kDeadlineExceeded = 25,
  kStalled = 26,
  kCallerDisconnected = 27,
  kShutdownForced = 28,
  // State of the system: the request was running when a target failed, and may
  // only run alone until it is known whether it caused the failure. It is not
  // quarantined, so a retry is worthwhile.
  kSuspect = 29,
  // Faults of the request.
  kNoRoute = 30,
  kBodyTooLarge = 31,
  // The caller took too long to send its request.
  kRequestTooSlow = 32,
  // State of the system: the target is slower than what the entry node would
  // accept elsewhere; another one may be faster.
  kSlowTarget = 33,
  // Another target has taken over the address; it did not run the request.
  kWrongTarget = 34,
  // State of the system: owners currently refuse too many similar calls for
  // lack of capacity, so none was asked.
  kThrottled = 35,
  // State of the system: the operator has evacuated the target's zone.
  kEvacuated = 36,
  // State of the system: the target accepts no more requests in time at the
  // rate that it has named.
  kTargetRateLimit = 37,
  // A fault of the request: it carries no key of a workspace, and its route is
  // not public.
  kUnknownKey = 38,
  // A failure after the request was sent: the answer was lost, and the target's
  // process has ended.
  kTargetCrashed = 39,
};

inline constexpr Reason kLastReason = Reason::kTargetCrashed;

// How a reason is reported to callers.
struct ReasonTraits {
  // The value of `Bulrushmount-Reason`.
  std::string_view token;
  // The HTTP status of the response to the caller.
  int status = 0;
  // Delay before a retry, if a retry can succeed; sent as `Retry-After`.
  std::optional<Duration> retry_after;
};

const ReasonTraits& TraitsOf(Reason reason);

// The value of `Bulrushmount-Outcome`.
std::string_view ToToken(Outcome outcome);

// The reverse of `TraitsOf(reason).token`; empty for an unknown token.
std::optional<Reason> ReasonFromToken(std::string_view token);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_OUTCOME_H_
