// Implements `dispatcher.h`: what it costs a call to leave its availability
// zone, and how long it may wait to stay there.

#include <algorithm>
#include <chrono>

#include "core/pipeline/dispatcher.h"
#include "core/pipeline/zone_preference.h"

namespace bulrushmount {

namespace {

// Time allowed for an attempt in another zone, as a multiple of its mean time:
// it covers the variation around the mean and a possible further attempt.
constexpr double kRemoteAttemptMargin = 1.6;

// A shorter hold would end before anything at the target could change.
constexpr Duration kMinHold = std::chrono::milliseconds(20);

}  // namespace

Duration Dispatcher::CrossZoneDelay(const Call& call) const {
  const double kilobytes = m_profiles.BodyBytes(call.terms.kind.name) / 1000;
  return FromSeconds(kilobytes * ToSeconds(m_settings.zone_kilobyte));
}

Duration Dispatcher::ZoneAdvantage(TimePoint now, const Call& call) const {
  if (!m_settings.has_objectives)
    return CrossZoneDelay(call);
  const ZonePreferenceInput input{call.ObjectiveLeft(now),
                                  m_profiles.FirstByte(call.terms.kind.name),
                                  call.refusals_in_zone};
  return std::max(CrossZoneDelay(call),
                  ZonePreference(input, m_settings.zone_spare_time_part));
}

// An offer in this zone may be slower by the part of the usual time that the
// call may spend to stay in the zone.
double Dispatcher::OfferAdvantage(TimePoint now, const Call& call) const {
  const Duration usual_time = m_profiles.FirstByte(call.terms.kind.name);
  if (!m_settings.has_objectives || usual_time <= Duration::zero())
    return 0.0;
  const ZonePreferenceInput input{call.ObjectiveLeft(now), usual_time, 0};
  return ToSeconds(ZonePreference(input, m_settings.zone_spare_time_part)) /
         ToSeconds(usual_time);
}

bool Dispatcher::IsInOwnZone(NodeId owner) const {
  const Member* member = m_parts.owners.FindOwner(owner);
  return member && member->zone == m_settings.zone;
}

// Load pattern: the target in this zone is slow for some hundred milliseconds.
// Transferring a large answer from another zone costs more than waiting until
// that is over, so the owner may hold the request as long as an attempt
// elsewhere would still be in time with a margin.
Duration Dispatcher::MaxHold(TimePoint now,
                             const Call& call,
                             const Member& owner) const {
  if (owner.zone != m_settings.zone || !call.attempt->is_selective)
    return Duration::zero();
  const Duration needed_elsewhere =
      FromSeconds(kRemoteAttemptMargin *
                  ToSeconds(m_profiles.FirstByte(call.terms.kind.name)));
  const Duration hold = std::min(CrossZoneDelay(call),
                                 call.ObjectiveLeft(now) - needed_elsewhere);
  return hold >= kMinHold ? hold : Duration::zero();
}

}  // namespace bulrushmount
