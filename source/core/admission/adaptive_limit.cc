// Part of `adaptive_limit.h`.

#include "core/admission/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace bulrushmount {

namespace {

// Minimum number of answers for an initial baseline and for each update. With
// fewer, noise would make some targets look slow at their normal speed: the
// mean of 16 answers is off by a fifth in one of ten cases, and a baseline
// falls faster than it rises.
constexpr std::uint32_t kBaselineAnswers = 128;

// One adjustment lowers the limit to no less than this fraction of it.
constexpr double kMaxDecrease = 0.7;

// Time constant with which a baseline falls towards a lower latency. Not
// immediate, since a few fast answers can be noise.
constexpr Duration kFallTimeConstant = std::chrono::seconds(2);

// Bounds memory, since the contracts may name any number of kinds. Answers of
// further kinds are ignored.
constexpr std::size_t kMaxKinds = 64;

}  // namespace

AdaptiveLimit::AdaptiveLimit(const AdaptiveLimitSettings& settings)
    : m_settings(settings) {}

void AdaptiveLimit::SetSlots(std::uint32_t slots) {
  if (slots == m_slots)
    return;
  m_slots = slots;
  m_limit = slots;
}

void AdaptiveLimit::OnAnswer(TimePoint now, const LatencySample& sample) {
  const std::optional<double> log_ratio = LogRatio(now, sample);
  if (!log_ratio)
    return;
  if (m_window.answers == 0)
    m_window.begun = now;
  ++m_window.answers;
  m_window.sum_log_ratio += *log_ratio;
  m_window.sum_squares += *log_ratio * *log_ratio;
  m_window.max_in_flight = std::max(m_window.max_in_flight, sample.in_flight);
  const bool is_full = m_window.answers >= m_settings.window_answers &&
                       now - m_window.begun >= m_settings.window;
  if (!is_full)
    return;
  AdjustLimit();
  m_window = Window{};
}

std::uint32_t AdaptiveLimit::limit() const {
  return static_cast<std::uint32_t>(m_limit);
}

std::optional<double> AdaptiveLimit::LogRatio(TimePoint now,
                                              const LatencySample& sample) {
  if (m_baselines.size() >= kMaxKinds && !m_baselines.contains(sample.kind))
    return std::nullopt;
  Baseline& baseline = m_baselines[sample.kind];
  const Duration latency = std::max<Duration>(sample.first_byte, Duration(1));
  const double log_ratio = std::log(ToSeconds(latency)) - baseline.log_latency;
  if (baseline.samples < kBaselineAnswers) {
    ++baseline.samples;
    baseline.log_latency += log_ratio / baseline.samples;
    baseline.updated_at = now;
    return std::nullopt;
  }
  baseline.sum_log_ratio += log_ratio;
  ++baseline.answers;
  UpdateBaseline(now, baseline);
  return log_ratio;
}

void AdaptiveLimit::UpdateBaseline(TimePoint now, Baseline& baseline) const {
  if (baseline.answers < kBaselineAnswers)
    return;
  const double mean = baseline.sum_log_ratio / baseline.answers;
  const Duration time_constant =
      mean < 0 ? kFallTimeConstant : m_settings.baseline_time_constant;
  const double elapsed = ToSeconds(now - baseline.updated_at);
  baseline.log_latency +=
      mean * (1 - std::exp(-elapsed / ToSeconds(time_constant)));
  baseline.sum_log_ratio = 0;
  baseline.answers = 0;
  baseline.updated_at = now;
}

void AdaptiveLimit::AdjustLimit() {
  const double mean = m_window.sum_log_ratio / m_window.answers;
  const double variance =
      std::max(0.0, m_window.sum_squares / m_window.answers - mean * mean);
  const double error = std::sqrt(variance / m_window.answers);
  const double allowed = std::log(m_settings.tolerance);
  if (mean - m_settings.standard_errors * error <= allowed) {
    m_limit = std::min(m_limit + 1, static_cast<double>(m_slots));
    return;
  }
  // With fewer than half of the allowed requests in flight, concurrency is not
  // the cause of the latency.
  if (m_window.max_in_flight < m_limit / 2)
    return;
  const double decrease = std::max(std::exp(allowed - mean), kMaxDecrease);
  m_limit = std::max(m_limit * decrease, Floor());
}

double AdaptiveLimit::Floor() const {
  const double least = std::max(1.0, m_settings.min_fraction * m_slots);
  return std::min(least, static_cast<double>(m_slots));
}

}  // namespace bulrushmount
