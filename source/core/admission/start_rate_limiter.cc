// Part of `start_rate_limiter.h`.

#include "core/admission/start_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace bulrushmount {

namespace {

// A limit is withdrawn by an answer without one, so a target with a limit of 0
// still gets a request now and then.
constexpr double kMinRate = 0.25;
// Above what any target can run; keeps intervals positive.
constexpr double kMaxRate = 1e6;

// Starts that were not used for this long may be made up for in a burst.
constexpr Duration kBurstTime = std::chrono::milliseconds(500);

}  // namespace

void StartRateLimiter::SetRate(TimePoint now,
                               std::optional<double> per_second) {
  if (m_rate == per_second)
    return;
  const bool had_rate = m_rate.has_value();
  const Duration interval_before = had_rate ? Interval() : Duration::zero();
  m_rate = per_second;
  if (!m_rate)
    return;
  if (!had_rate) {
    m_next_start = now + Tolerance();
    return;
  }
  // Starts before the regular time of the next one, under either rate.
  const double starts =
      std::max(0.0, ToSeconds(m_next_start - now) / ToSeconds(interval_before));
  m_next_start = now + FromSeconds(starts * ToSeconds(Interval()));
}

bool StartRateLimiter::MayStart(TimePoint now) const {
  return ExpectedWait(now, 0) <= Duration::zero();
}

Duration StartRateLimiter::ExpectedWait(TimePoint now,
                                        std::size_t ahead) const {
  if (!m_rate)
    return Duration::zero();
  const Duration until_regular =
      std::max(Duration::zero(), m_next_start - now) +
      FromSeconds(static_cast<double>(ahead) * ToSeconds(Interval()));
  return std::max(Duration::zero(), until_regular - Tolerance());
}

void StartRateLimiter::OnStarted(TimePoint now) {
  if (m_rate)
    m_next_start = std::max(m_next_start, now) + Interval();
}

double StartRateLimiter::EffectiveRate() const {
  return std::clamp(*m_rate, kMinRate, kMaxRate);
}

Duration StartRateLimiter::Interval() const {
  return FromSeconds(1.0 / EffectiveRate());
}

Duration StartRateLimiter::Tolerance() const {
  return std::max(Duration::zero(), kBurstTime - Interval());
}

}  // namespace bulrushmount
