// Part of `knee_limit.h`.

#include "core/admission/knee_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

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
// While it is not known whether there is a knee: uncrowded answers to each
// start that crowds the target. Of eight requests one is then slower at the
// worst, and what is to be known takes some eighty answers.
constexpr std::uint32_t kAnswersToATrial = 8;
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
  const bool is_full = m_kinds.size() >= kMaxKinds;
  if (seconds <= 0 || (is_full && !m_kinds.contains(sample.kind)))
    return;
  Kind& kind = m_kinds[sample.kind];
  if (sample.in_flight <= uncrowded()) {
    kind.log_usual +=
        GainOf(kUsualGain, kind.answers) * (std::log(seconds) - kind.log_usual);
    ++kind.answers;
    ++m_answers_since_trial;
    return;
  }
  m_answers_since_trial = 0;
  if (kind.answers < kLeastUsual)
    return;
  if (now - m_learnt_at > kDoubtAfter)
    ForgetCrowding();
  m_learnt_at = now;
  kind.log_crowding += GainOf(kCrowdedGain, kind.crowded_answers) *
                       (std::log(seconds) - kind.log_usual - kind.log_crowding);
  ++kind.crowded_answers;
}

void KneeLimit::ForgetCrowding() {
  for (auto& [name, kind] : m_kinds)
    kind.crowded_answers = 0;
}

bool KneeLimit::IsKnown() const {
  return std::any_of(m_kinds.begin(), m_kinds.end(), [](const auto& entry) {
    return entry.second.crowded_answers >= kLeastCrowded;
  });
}

std::uint32_t KneeLimit::limit() const {
  if (!IsKnown()) {
    const bool is_trial = m_answers_since_trial >= kAnswersToATrial;
    return std::min(m_slots, uncrowded() + (is_trial ? 1 : 0));
  }
  // Fewer requests at a time get more done once the rest would take longer than
  // the slots that are given up are worth.
  return crowding() * kCrowdedFrom > 1.0 ? uncrowded() : m_slots;
}

double KneeLimit::crowding() const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, kind] : m_kinds) {
    if (kind.crowded_answers >= kLeastCrowded)
      least = std::min(least, std::exp(kind.log_crowding));
  }
  return std::isinf(least) ? 1.0 : least;
}

std::uint32_t KneeLimit::uncrowded() const {
  const auto slots = static_cast<std::uint32_t>(kCrowdedFrom * m_slots);
  return m_slots == 0 ? 0 : std::max(1U, slots);
}

}  // namespace bulrushmount
