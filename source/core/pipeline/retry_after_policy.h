// Chooses the Retry-After of a refusal.
//
// Load pattern: interference or a burst fills all targets for some hundred
// milliseconds, and all refused callers would retry together. So the earliest
// retry is at a time when capacity is likely to be free, and retries are spread
// at random over an equally long period after it.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_
#define BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_

#include <chrono>
#include <optional>

#include "core/common/outcome.h"
#include "core/common/random.h"
#include "core/common/time.h"

namespace bulrushmount {

// Minimum time after which the cause of the refusal has probably ended; empty
// if the default of `TraitsOf(reason)` applies.
inline std::optional<Duration> MinRetryAfter(Reason reason) {
  using std::chrono::milliseconds;
  switch (reason) {
    // Half the duration of typical interference.
    case Reason::kOverloaded:
    case Reason::kSlowTarget:
    case Reason::kShed:
    case Reason::kThrottled:
      return milliseconds(250);
    // A restarted target sends its first report within one or two seconds. A
    // target names a rate limit for seconds.
    case Reason::kTargetRateLimit:
    case Reason::kNoTarget:
    case Reason::kConnectFailed:
    case Reason::kWrongTarget:
    case Reason::kNodeUnreachable:
      return milliseconds(500);
    // Another node or target can accept the call at once.
    case Reason::kDraining:
    case Reason::kEvacuated:
      return milliseconds(50);
    // A node loads its configuration within a second of its start.
    case Reason::kConfigurationUnknown:
      return milliseconds(300);
    default:
      return std::nullopt;
  }
}

// For refusals at random that an immediate retry is likely to avoid; see
// ShedShares. The jitter separates callers that were refused together.
inline Duration DrawImmediateRetryAfter(RandomSource& random) {
  constexpr double kMinSeconds = 0.02;
  return FromSeconds(kMinSeconds * (1.0 + random.Fraction()));
}

inline std::optional<Duration> DrawRetryAfter(Reason reason,
                                              RandomSource& random) {
  const std::optional<Duration> least = MinRetryAfter(reason);
  if (!least)
    return std::nullopt;
  return FromSeconds(ToSeconds(*least) * (1.0 + random.Fraction()));
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_
