// Part of `service_times.h`.

#include "core/admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace bulrushmount {

namespace {

// Weight of one sample in the means once there are more than 1 / kGain.
constexpr double kGain = 0.1;

// Caps a sample at this multiple of the mean. Otherwise a single two-hour
// download among lookups would make the queue refuse requests for long. A
// target that has really slowed down still shows after a few requests.
constexpr double kMaxRatio = 8.0;

// Bounds memory, since the contracts may name any number of kinds. Further
// kinds are estimated by their weight alone.
constexpr std::size_t kMaxKinds = 64;

// In a normal distribution, six of seven values are below the mean plus 1.3
// times the mean absolute deviation.
constexpr double kLikelyDeviations = 1.3;

// The first samples have equal weights, and the first one replaces the initial
// estimate.
//
// Failure without this: for seconds after all nodes and targets restart, owners
// estimate 20 ms for requests that take 340 ms. They refuse last attempts that
// could wait, and start late works before those that can be in time.
double GainAfter(std::uint32_t samples) {
  return std::max(kGain, 1.0 / (samples + 1));
}

double Capped(double sample, double mean, std::uint32_t samples) {
  return samples == 0 ? sample : std::min(sample, kMaxRatio * mean);
}

void UpdateMean(double& mean, std::uint32_t& samples, double sample) {
  mean += GainAfter(samples) * (Capped(sample, mean, samples) - mean);
  ++samples;
}

}  // namespace

ServiceTimes::ServiceTimes(Duration initial)
    : m_per_unit{.first_byte = ToSeconds(initial),
                 .slot_time = ToSeconds(initial)} {}

void ServiceTimes::OnFirstByte(const KindName& kind,
                               double weight,
                               Duration elapsed) {
  UpdateMean(m_per_unit.first_byte, m_per_unit.first_bytes,
             ToSeconds(elapsed) / weight);
  Means* const means = MeansOf(kind, weight);
  if (!means)
    return;
  const std::uint32_t samples = means->first_bytes;
  const double seconds = Capped(ToSeconds(elapsed), means->first_byte, samples);
  // The first sample's distance from the initial estimate is not a measure of
  // the spread.
  if (samples > 0) {
    const double distance = std::abs(seconds - means->first_byte);
    means->first_byte_deviation +=
        GainAfter(samples - 1) * (distance - means->first_byte_deviation);
  }
  UpdateMean(means->first_byte, means->first_bytes, seconds);
}

void ServiceTimes::OnSlotFreed(const KindName& kind,
                               double weight,
                               Duration elapsed) {
  UpdateMean(m_per_unit.slot_time, m_per_unit.slot_times,
             ToSeconds(elapsed) / weight);
  if (Means* means = MeansOf(kind, weight))
    UpdateMean(means->slot_time, means->slot_times, ToSeconds(elapsed));
}

void ServiceTimes::OnAborted(const KindName& kind,
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

ServiceTimes::Means* ServiceTimes::MeansOf(const KindName& kind,
                                           double weight) {
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
