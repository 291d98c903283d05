// Decides how much later a call may start to stay in its availability zone.
//
// Load pattern: interference slows down a quarter of the targets at any time,
// and demand in each zone swings, so the targets of the own zone often look
// slightly slower than those of another one. Bytes between zones are scarce,
// while an answer well within the latency objective is worth as much as an
// earlier one. So a call spends part of its spare time on owners of its own
// zone, less with each of them that refuses, and leaves the zone early enough
// to be in time elsewhere.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ZONE_PREFERENCE_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ZONE_PREFERENCE_H_

#include <algorithm>
#include <cstdint>

#include "core/common/time.h"

namespace bulrushmount {

// With a third of the targets unable to start a request at once, three refusals
// in a row have a probability of 4 % unless the whole zone is short of
// capacity.
inline constexpr std::uint32_t kZoneRefusalLimit = 3;

struct ZonePreferenceInput {
  // Remaining time of the latency objective.
  Duration objective_left{};
  // Mean time from sending a request of this kind until its answer begins.
  Duration usual_time{};
  // Owners of the own zone that have refused this call for lack of capacity.
  std::uint32_t refusals_in_zone = 0;
};

// Returns the delay that the call may accept to stay in its zone. `part` is the
// part of the spare time that may be spent, in [0, 1].
inline Duration ZonePreference(const ZonePreferenceInput& input, double part) {
  const Duration spare = input.objective_left - input.usual_time;
  if (spare <= Duration::zero() || input.refusals_in_zone >= kZoneRefusalLimit)
    return Duration::zero();
  const double refused = static_cast<double>(input.refusals_in_zone);
  return FromSeconds(part * ToSeconds(spare) *
                     (1.0 - refused / kZoneRefusalLimit));
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ZONE_PREFERENCE_H_
