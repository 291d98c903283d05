// Detects whether the target slows down when it is nearly full (has a knee),
// and then limits its concurrency to below the knee.
//
// Load pattern: all targets of a service are near their slots. Targets with a
// knee then take much longer for each request: nine slots at 1.7 times the
// normal service time have a lower throughput than seven at the normal one.
// Targets without a knee do not slow down, and a lower limit would waste a
// fifth of their capacity.
//
// Until there is an estimate, the target is kept below the congestion threshold
// except for occasional trial starts. Filling it until a knee is detected would
// cost most after all targets restart, when they are cold and the load is
// unchanged: requests would be slowed down twice, and none would be in time.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_
#define BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_

#include <cstdint>
#include <unordered_map>

#include "core/admission/concurrency_limit.h"

namespace bulrushmount {

class KneeLimit : public ConcurrencyLimit {
 public:
  void SetSlots(std::uint32_t slots) override;
  void OnAnswer(TimePoint now, const LatencySample& sample) override;
  // The slots if there is no knee, else `uncongested_limit()`. Without an
  // estimate, `uncongested_limit()`, and one more for trial starts.
  std::uint32_t limit() const override;

  // Number of requests that run without congesting the target; at least 1 if
  // there is any slot.
  std::uint32_t uncongested_limit() const;
  // Ratio of the service time at starts on the congested target to the
  // baseline, for the request kind with the smallest ratio. A knee slows down
  // all kinds alike. A request that calls another service also waits for that
  // one and takes longer when the whole fleet is busy, which is not a property
  // of this target.
  double congestion_slowdown() const;

 private:
  bool HasEstimate() const;
  void ResetCongestion();

  std::uint32_t m_slots = 0;
  // Statistics of one request kind.
  struct Kind {
    // For starts on the uncongested target: mean of the logarithm of the
    // service time in seconds, and number of samples.
    double log_baseline = 0;
    std::uint32_t answers = 0;
    // For starts on the congested target: mean of the logarithm of the service
    // time over the baseline, and number of samples.
    double log_congestion_slowdown = 0;
    std::uint32_t congested_answers = 0;
  };

  std::unordered_map<KindName, Kind> m_kinds;
  TimePoint m_congested_answer_at;
  // Answers of uncongested starts since the last one of a congested start.
  std::uint32_t m_answers_since_trial = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_
