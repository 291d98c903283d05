// Lowers a target's concurrency limit below its announced slots while its
// latency indicates interference from other processes on the same machine.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_ADAPTIVE_LIMIT_H_
#define BULRUSHMOUNT_CORE_ADMISSION_ADAPTIVE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/admission/concurrency_limit.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

struct AdaptiveLimitSettings {
  // Lower bound of the limit as a fraction of the slots; the limit is also at
  // least 1.
  double min_fraction = 0.34;
  // The limit falls when the mean latency exceeds this multiple of the baseline
  // by more than `standard_errors` standard errors of the mean, so a window
  // with few answers needs a larger increase than one with many.
  double tolerance = 1.2;
  double standard_errors = 2.0;
  // Minimum number of answers and minimum time between two adjustments.
  std::uint32_t window_answers = 16;
  Duration window = std::chrono::milliseconds(50);
  // Time constant with which the baseline rises towards a latency that stays
  // higher. It falls faster, with kFallTimeConstant.
  Duration baseline_time_constant = std::chrono::seconds(60);
};

// Additive-increase, multiplicative-decrease limit. Each request kind has its
// own latency baseline, so that a change of the request mix is not mistaken for
// a change of speed.
class AdaptiveLimit : public ConcurrencyLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitSettings& settings);

  void SetSlots(std::uint32_t slots) override;
  void OnAnswer(TimePoint now, const LatencySample& sample) override;
  std::uint32_t limit() const override;

 private:
  // Baseline latency of one request kind.
  struct Baseline {
    // Mean of the logarithm of the latency in seconds.
    double log_latency = 0;
    // Answers in the initial mean, at most kBaselineAnswers.
    std::uint32_t samples = 0;
    // Sum and number of log(latency / baseline) since `updated_at`.
    double sum_log_ratio = 0;
    std::uint32_t answers = 0;
    TimePoint updated_at;
  };

  // Answers since the last adjustment.
  struct Window {
    TimePoint begun;
    double sum_log_ratio = 0;
    double sum_squares = 0;
    std::uint32_t answers = 0;
    std::uint32_t max_in_flight = 0;
  };

  // log(latency / baseline); empty until the kind has a baseline.
  std::optional<double> LogRatio(TimePoint now, const LatencySample& sample);
  // Moves the baseline towards the observed latencies once there are
  // kBaselineAnswers of them.
  void UpdateBaseline(TimePoint now, Baseline& baseline) const;
  void AdjustLimit();
  double Floor() const;

  AdaptiveLimitSettings m_settings;
  std::uint32_t m_slots = 0;
  // In [floor, m_slots].
  double m_limit = 0;
  Window m_window;
  std::unordered_map<KindName, Baseline> m_baselines;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_ADAPTIVE_LIMIT_H_
