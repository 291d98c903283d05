// Chooses the Retry-After of a refusal.
//
// Load pattern: interference or a burst fills all targets for some hundred
// milliseconds, and all refused callers would retry together. So the earliest
// retry is at a time when capacity is likely to be free, and retries are spread
// at random over an equally long period after it.
//
// Load pattern: a lasting overload at targets whose requests take 40 to 400 ms.
// The time until one of them can start a new request depends on its queue,
// which the owner's report describes. After a constant time, callers of fast
// targets come back with less time left than necessary, and callers of slow
// ones are refused again.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_
#define BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/common/outcome.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"

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
  constexpr double min_seconds = 0.02;
  return FromSeconds(min_seconds * (1.0 + random.Fraction()));
}

namespace detail {

// Half the duration of typical interference.
inline constexpr Duration kInterferenceTime = std::chrono::milliseconds(250);

inline constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
inline constexpr Duration kLongestRetryAfter = std::chrono::seconds(2);

// Callers honour a Retry-After up to this fraction of their remaining time.
inline constexpr double kHonouredFraction = 1.0 / 3;

}  // namespace detail

// Expected time until the owner can start a new request, from the report that
// it refused the call with; empty if the report does not state it.
inline std::optional<Duration> TimeUntilFree(const LoadReport& load) {
  if (load.limit == 0 || load.service_time <= Duration::zero())
    return std::nullopt;
  const double queued = load.in_flight + load.queued + 1.0;
  const double wait = std::max(0.0, (queued - load.limit) / load.limit);
  const Duration in_queue = FromSeconds(ToSeconds(load.service_time) * wait);
  // What the queue and a full target do not explain is interference.
  const bool is_disturbed = load.slowdown >= 2 + wait;
  return is_disturbed ? std::max(in_queue, detail::kInterferenceTime)
                      : in_queue;
}

// `load`: the last report of an owner; default without one. `left`: the
// caller's remaining time.
inline std::optional<Duration> DrawRetryAfter(Reason reason,
                                              const LoadReport& load,
                                              Duration left,
                                              RandomSource& random) {
  std::optional<Duration> least = MinRetryAfter(reason);
  if (!least)
    return std::nullopt;
  const std::optional<Duration> free = TimeUntilFree(load);
  if (reason == Reason::kOverloaded && free) {
    // A caller ignores a longer time than this and gives up, although its
    // request might be served in the time that it has.
    const Duration honoured =
        std::max(detail::kShortestRetryAfter,
                 FromSeconds(detail::kHonouredFraction * ToSeconds(left)));
    least = std::min(std::clamp(*free, detail::kShortestRetryAfter,
                                detail::kLongestRetryAfter),
                     honoured / 2);
  }
  return FromSeconds(ToSeconds(*least) * (1.0 + random.Fraction()));
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_RETRY_AFTER_POLICY_H_
