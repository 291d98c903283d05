// Part of `service_times.h`.

#include "core/admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace bulrushmount {

namespace {

// Weight of one request in the means, once some are known.
constexpr double kGain = 0.1;

// A request counts as at most this multiple of the mean. One download of two
// hours among lookups would otherwise make the queue look hopeless for long;
// a target that has really slowed still shows after a few requests.
constexpr double kMaxRatio = 8.0;

// Kinds come from contracts; more than this are taken by their weight alone.
constexpr std::size_t kMaxKinds = 64;

// Of a normal spread, six in seven are below the mean plus 1.3 times the mean
// distance from it.
constexpr double kLikelyDeviations = 1.3;

// The first samples count alike, and the first alone replaces what was assumed.
//
// Symptom without it: for seconds after a restart of all, owners take requests
// of 340 ms for such of 20 ms. They refuse last attempts that could wait, and
// start what is late before what is not.
double GainAfter(std::uint32_t samples) {
  return std::max(kGain, 1.0 / (samples + 1));
}

double Bounded(double sample, double mean, std::uint32_t samples) {
  return samples == 0 ? sample : std::min(sample, kMaxRatio * mean);
}

void Follow(double& mean, std::uint32_t& samples, double sample) {
  mean += GainAfter(samples) * (Bounded(sample, mean, samples) - mean);
  ++samples;
}

}  // namespace

ServiceTimes::ServiceTimes(Duration initial)
    : m_per_unit{.first_byte = ToSeconds(initial),
                 .slot_time = ToSeconds(initial)} {}

void ServiceTimes::OnFirstByte(const KindName& kind,
                               double weight,
                               Duration elapsed) {
  Follow(m_per_unit.first_byte, m_per_unit.first_bytes,
         ToSeconds(elapsed) / weight);
  Means* const means = Learn(kind, weight);
  if (!means)
    return;
  const std::uint32_t samples = means->first_bytes;
  const double seconds =
      Bounded(ToSeconds(elapsed), means->first_byte, samples);
  // How far the first one is from what was assumed says nothing.
  if (samples > 0) {
    const double distance = std::abs(seconds - means->first_byte);
    means->first_byte_deviation +=
        GainAfter(samples - 1) * (distance - means->first_byte_deviation);
  }
  Follow(means->first_byte, means->first_bytes, seconds);
}

void ServiceTimes::OnSlotFreed(const KindName& kind,
                               double weight,
                               Duration elapsed) {
  Follow(m_per_unit.slot_time, m_per_unit.slot_times,
         ToSeconds(elapsed) / weight);
  if (Means* means = Learn(kind, weight))
    Follow(means->slot_time, means->slot_times, ToSeconds(elapsed));
}

void ServiceTimes::OnCutShort(const KindName& kind,
                              double weight,
                              Duration elapsed) {
  if (elapsed > FirstByte(kind, weight))
    OnFirstByte(kind, weight, elapsed);
  if (elapsed > SlotTime(kind, weight))
    OnSlotFreed(kind, weight, elapsed);
}

Duration ServiceTimes::FirstByte(const KindName& kind, double weight) const {
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end())
    return FromSeconds(m_per_unit.first_byte * weight);
  return FromSeconds(found->second.first_byte);
}

Duration ServiceTimes::LikelyFirstByte(const KindName& kind,
                                       double weight) const {
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end())
    return FirstByte(kind, weight);
  return FromSeconds(found->second.first_byte +
                     kLikelyDeviations * found->second.first_byte_deviation);
}

Duration ServiceTimes::SlotTime(const KindName& kind, double weight) const {
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end())
    return FromSeconds(m_per_unit.slot_time * weight);
  return FromSeconds(found->second.slot_time);
}

Duration ServiceTimes::first_byte_per_unit() const {
  return FromSeconds(m_per_unit.first_byte);
}

Duration ServiceTimes::slot_time_per_unit() const {
  return FromSeconds(m_per_unit.slot_time);
}

ServiceTimes::Means* ServiceTimes::Learn(const KindName& kind, double weight) {
  const auto found = m_kinds.find(kind);
  if (found != m_kinds.end())
    return &found->second;
  if (m_kinds.size() >= kMaxKinds)
    return nullptr;
  const Means initial{m_per_unit.first_byte * weight,
                      m_per_unit.slot_time * weight, 0};
  return &m_kinds.emplace(kind, initial).first->second;
}

}  // namespace bulrushmount
