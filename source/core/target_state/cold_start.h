// Cold start of a target: computes the factor by which its share of picks rises
// while its caches fill. A target warms up by the requests that it answers;
// elapsed time alone counts half.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_COLD_START_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_COLD_START_H_

#include <cstdint>

#include "core/common/time.h"

namespace bulrushmount {

class ColdStart {
 public:
  // `warmup` must be positive. `warm_answers`: number of answered requests from
  // which further ones do not make the target warmer.
  ColdStart(TimePoint begun_at, Duration warmup, std::uint32_t warm_answers);

  void OnAnswered();

  // In [kMinFactor, 1]; never decreases with time or answers. Reaches 1 after
  // `warmup` with `warm_answers`, and otherwise after twice `warmup`, so that a
  // service without traffic does not stay cold forever.
  double Factor(TimePoint now) const;
  bool IsOver(TimePoint now) const { return now >= EndsAt(); }

  // End of the cold start if no further requests are answered.
  TimePoint EndsAt() const;

  // Large enough that a cold target gets some requests to warm up with.
  static constexpr double kMinFactor = 0.1;

 private:
  TimePoint m_begun_at;
  Duration m_warmup;
  std::uint32_t m_warm_answers;
  std::uint32_t m_answers = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_COLD_START_H_
