// Part of `knee_limit.h`.

#include "core/admission/knee_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/admission/start_estimate.h"

namespace bulrushmount {

namespace {

// Minimum number of answers of a kind for a valid baseline.
constexpr std::uint32_t kMinBaselineAnswers = 8;
// Minimum number of answers of congested starts for a valid estimate: with a
// spread of a third of the mean, their mean is accurate to a tenth.
constexpr std::uint32_t kMinCongestedAnswers = 10;
constexpr double kBaselineGain = 0.05;
constexpr double kCongestedGain = 0.1;
// The estimate expires after this long without congested starts, since a limit
// below the knee prevents them and the estimate could never be corrected.
constexpr Duration kEstimateMaxAge = std::chrono::seconds(60);
// Uncongested answers before each trial start that congests the target while
// there is no estimate. So at most one of eight requests is slowed down, and an
// estimate takes about eighty answers.
constexpr std::uint32_t kAnswersPerTrial = 8;
// Bounds memory, since the operator may configure any number of kinds. Answers
// of further kinds are ignored.
constexpr std::size_t kMaxKinds = 256;

// Weight of the next answer in a mean of `answers` earlier ones.
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
  if (sample.in_flight <= uncongested_limit()) {
    kind.log_baseline += GainOf(kBaselineGain, kind.answers) *
                         (std::log(seconds) - kind.log_baseline);
    ++kind.answers;
    ++m_answers_since_trial;
    return;
  }
  m_answers_since_trial = 0;
  if (kind.answers < kMinBaselineAnswers)
    return;
  if (now - m_congested_answer_at > kEstimateMaxAge)
    ResetCongestion();
  m_congested_answer_at = now;
  kind.log_congestion_slowdown +=
      GainOf(kCongestedGain, kind.congested_answers) *
      (std::log(seconds) - kind.log_baseline - kind.log_congestion_slowdown);
  ++kind.congested_answers;
}

void KneeLimit::ResetCongestion() {
  for (auto& [name, kind] : m_kinds)
    kind.congested_answers = 0;
}

bool KneeLimit::HasEstimate() const {
  return std::any_of(m_kinds.begin(), m_kinds.end(), [](const auto& entry) {
    return entry.second.congested_answers >= kMinCongestedAnswers;
  });
}

std::uint32_t KneeLimit::limit() const {
  if (!HasEstimate()) {
    const bool is_trial = m_answers_since_trial >= kAnswersPerTrial;
    return std::min(m_slots, uncongested_limit() + (is_trial ? 1 : 0));
  }
  // A lower concurrency has the higher throughput if the slowdown by congestion
  // exceeds the ratio of all slots to the remaining ones.
  return congestion_slowdown() * kCongestionThreshold > 1.0
             ? uncongested_limit()
             : m_slots;
}

double KneeLimit::congestion_slowdown() const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, kind] : m_kinds) {
    if (kind.congested_answers >= kMinCongestedAnswers)
      least = std::min(least, std::exp(kind.log_congestion_slowdown));
  }
  return std::isinf(least) ? 1.0 : least;
}

std::uint32_t KneeLimit::uncongested_limit() const {
  const auto slots = static_cast<std::uint32_t>(kCongestionThreshold * m_slots);
  return m_slots == 0 ? 0 : std::max(1U, slots);
}

}  // namespace bulrushmount
