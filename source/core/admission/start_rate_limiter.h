// Limits the rate of starts on a target to the rate that the target names in
// its answers.
//
// Load pattern: a target in need takes a fraction of its usual requests. Its
// owner hands over every request of all entries, so the rate is kept exactly by
// delaying starts there, and requests that would wait for too long are refused.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_START_RATE_LIMITER_H_
#define BULRUSHMOUNT_CORE_ADMISSION_START_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "core/admission/start_gate.h"
#include "core/common/time.h"

namespace bulrushmount {

class StartRateLimiter : public StartGate {
 public:
  // Sets the starts per second; empty for no limit. One start is allowed at
  // once after a time without a limit; a change of the rate does not add any.
  void SetRate(TimePoint now, std::optional<double> per_second);

  // As set.
  const std::optional<double>& rate() const { return m_rate; }

  bool MayStart(TimePoint now) const override;
  Duration ExpectedWait(TimePoint now, std::size_t ahead) const override;
  void OnStarted(TimePoint now) override;

 private:
  double EffectiveRate() const;
  Duration Interval() const;
  // How far before its regular time a start is allowed.
  Duration Tolerance() const;

  std::optional<double> m_rate;
  // Regular time of the next start: one interval after that of the last one, or
  // earlier than now.
  TimePoint m_next_start;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_START_RATE_LIMITER_H_
