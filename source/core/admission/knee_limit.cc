// Part of `knee_limit.h`.

#include "core/admission/knee_limit.h"

#include <algorithm>
#include <cmath>

#include "core/admission/start_estimate.h"

namespace bulrushmount {

namespace {

// Answers of one kind before its usual time is believed.
constexpr std::uint32_t kLeastUsual = 8;
// Crowded answers before a knee is believed: at a spread of a third of the mean
// their mean is right to a tenth.
constexpr std::uint32_t kLeastCrowded = 10;
constexpr double kUsualGain = 0.05;
constexpr double kCrowdedGain = 0.1;
// A known knee is doubted after this long without crowded answers, since none
// come while the limit keeps the target uncrowded.
constexpr Duration kDoubtAfter = std::chrono::seconds(60);
// Kinds come from the operator; more than this are not looked at.
constexpr std::size_t kMaxKinds = 256;

// Weight of one more answer in a mean of `answers` before it.
double GainOf(double least, std::uint32_t answers) {
  return std::max(least, 1.0 / (answers + 1));
}

}  // namespace

void KneeLimit::SetSlots(std::uint32_t slots) {
  m_slots = slots;
}

void KneeLimit::OnAnswer(TimePoint now, const LatencySample& sample) {
  const double seconds = ToSeconds(sample.first_byte) / sample.slowdown;
  if (seconds <= 0 ||
      (m_usual.size() >= kMaxKinds && !m_usual.contains(sample.kind)))
    return;
  Usual& usual = m_usual[sample.kind];
  if (sample.in_flight <= uncrowded()) {
    usual.log_seconds += GainOf(kUsualGain, usual.answers) *
                         (std::log(seconds) - usual.log_seconds);
    ++usual.answers;
    return;
  }
  if (usual.answers < kLeastUsual)
    return;
  if (now - m_learnt_at > kDoubtAfter)
    m_crowded_answers = 0;
  m_learnt_at = now;
  const double log_ratio = std::log(seconds) - usual.log_seconds;
  m_log_crowding +=
      GainOf(kCrowdedGain, m_crowded_answers) * (log_ratio - m_log_crowding);
  ++m_crowded_answers;
}

std::uint32_t KneeLimit::limit() const {
  // Fewer requests at a time get more done once the rest would take longer than
  // the slots that are given up are worth.
  const bool has_knee =
      m_crowded_answers >= kLeastCrowded && crowding() * kCrowdedFrom > 1.0;
  return has_knee ? uncrowded() : m_slots;
}

std::uint32_t KneeLimit::uncrowded() const {
  const auto slots = static_cast<std::uint32_t>(kCrowdedFrom * m_slots);
  return m_slots == 0 ? 0 : std::max(1U, slots);
}

double KneeLimit::crowding() const {
  return m_crowded_answers == 0 ? 1.0 : std::exp(m_log_crowding);
}

}  // namespace bulrushmount
