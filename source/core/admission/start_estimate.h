// Estimates how long a request that starts now takes on a target, as a multiple
// of the target's normal service time.
//
// Load pattern: other processes on a target's machine cause interference for
// some hundred milliseconds at a time, which makes its requests take several
// times as long. The service time of a request is determined when it starts.
// Other targets of the service are undisturbed at the same moment, and starting
// there costs a round trip between availability zones, a hundredth of the cost
// of a start on a disturbed target.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_START_ESTIMATE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_START_ESTIMATE_H_

#include <algorithm>
#include <cstdint>

#include "core/node_logic/call_types.h"

namespace bulrushmount {

// Servers with a knee slow down when they are nearly full: above this fraction
// of their slots, requests take kCongestedSlowdown times as long.
inline constexpr double kCongestionThreshold = 0.8;
inline constexpr double kCongestedSlowdown = 1.7;

// Assumed slowdown of a target that is in its cold start and reports no
// slowdown.
inline constexpr double kColdSlowdown = 2.0;

// Highest slowdown that an entry accepts while it can still choose another
// target: below the slowdown of a congested target, above the normal variation
// of an undisturbed one.
inline constexpr double kAcceptableSlowdown = 1.5;

struct StartConditions {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  // Requests that may run concurrently.
  std::uint32_t limit = 0;
  // Requests that the target can run concurrently. Above `limit` if the limit
  // keeps the target below its knee.
  std::uint32_t slots = 0;
  // As reported by the target; 1 without a report.
  double reported_slowdown = 1.0;
  bool is_reported = false;
  bool is_cold = false;
  // Time until another request may start on the target, as a multiple of its
  // normal service time.
  double wait = 0;
};

inline double EstimateSlowdown(const StartConditions& conditions) {
  const double limit = std::max(1U, conditions.limit);
  const double total = conditions.in_flight + conditions.queued + 1;
  double slowdown = conditions.reported_slowdown;
  if (conditions.is_cold && !conditions.is_reported)
    slowdown = kColdSlowdown;
  // At most `limit` requests run concurrently, so a target whose limit is below
  // its knee is never congested.
  if (std::min(total, limit) > kCongestionThreshold * conditions.slots)
    slowdown *= kCongestedSlowdown;
  // At the limit, a slot becomes free every 1/limit of the service time on
  // average, and the next request starts.
  if (total > limit)
    slowdown += conditions.reported_slowdown * (total - limit) / limit;
  return slowdown + conditions.wait;
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_START_ESTIMATE_H_
