// Part of `cold_start_limiter.h`.

#include "core/admission/cold_start_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bulrushmount {

namespace {

// The second over which a target's tolerance is defined, plus the maximum delay
// between the decision to start a request and its arrival at the target.
constexpr Duration kWindow =
    std::chrono::seconds(1) + std::chrono::milliseconds(50);

// Fraction of the tolerated starts since the last verification at which the
// target is queried again. The answer arrives while the rest is used.
constexpr double kVerifyFraction = 0.5;

// Delay before a health endpoint that did not answer is queried again.
constexpr Duration kVerificationRetryDelay = std::chrono::milliseconds(100);

std::size_t AtLeastOne(double count) {
  return static_cast<std::size_t>(std::max(1.0, std::floor(count)));
}

}  // namespace

ColdStartLimiter::ColdStartLimiter(const ColdStartSettings& settings,
                                   TimePoint now)
    : m_settings(settings), m_unknown_until(now + kWindow) {}

void ColdStartLimiter::OnReplaced(TimePoint now) {
  m_starts.clear();
  m_cold_until = now;
  m_failed_at.reset();
}

void ColdStartLimiter::OnColdReported(TimePoint now, Duration cold_time_left) {
  if (cold_time_left > Duration::zero())
    m_cold_until = std::max(m_cold_until, now + cold_time_left);
}

void ColdStartLimiter::OnVerified(TimePoint now,
                                  TimePoint asked_at,
                                  Duration cold_time_left) {
  m_failed_at.reset();
  m_cold_until = now + cold_time_left;
  if (cold_time_left > Duration::zero())
    return;
  // Starts before the query was sent reached a warm target.
  while (!m_starts.empty() && m_starts.front() <= asked_at)
    m_starts.pop_front();
  m_unknown_until = std::min(m_unknown_until, asked_at);
}

void ColdStartLimiter::OnVerificationFailed(TimePoint now) {
  m_failed_at = now;
}

bool ColdStartLimiter::NeedsVerification(TimePoint now) const {
  if (!is_limited() || IsCold(now))
    return false;
  if (m_failed_at && now - *m_failed_at < kVerificationRetryDelay)
    return false;
  const auto starts = static_cast<double>(StartsInWindow(now));
  return starts >= kVerifyFraction * static_cast<double>(Capacity(now));
}

std::optional<std::size_t> ColdStartLimiter::Concurrency(
    TimePoint now,
    Duration service_time) const {
  if (!is_limited() || !IsCold(now))
    return std::nullopt;
  const auto starts = static_cast<double>(Capacity(now));
  return AtLeastOne(std::ceil(starts * ToSeconds(service_time)));
}

TimePoint ColdStartLimiter::NextStart(TimePoint now) const {
  return now + WaitFor(now, 0);
}

bool ColdStartLimiter::MayStart(TimePoint now) const {
  return WaitFor(now, 0) <= Duration::zero();
}

// If the target is not known to be cold, a health query is pending, and its
// answer most likely ends the wait.
Duration ColdStartLimiter::ExpectedWait(TimePoint now,
                                        std::size_t ahead) const {
  if (!IsCold(now) && !m_failed_at)
    return Duration::zero();
  return WaitFor(now, ahead);
}

void ColdStartLimiter::OnStarted(TimePoint now) {
  if (!is_limited())
    return;
  while (!m_starts.empty() && now - m_starts.front() >= kWindow)
    m_starts.pop_front();
  m_starts.push_back(now);
}

std::size_t ColdStartLimiter::Capacity(TimePoint now) const {
  const double capacity = *m_rate * m_settings.overage;
  return now < m_unknown_until ? UnknownWindowCapacity() : AtLeastOne(capacity);
}

std::size_t ColdStartLimiter::UnknownWindowCapacity() const {
  const double rest = *m_rate * m_settings.overage + m_settings.slack -
                      std::floor(*m_rate * m_settings.overage);
  return static_cast<std::size_t>(std::max(0.0, std::floor(rest)));
}

std::size_t ColdStartLimiter::StartsInWindow(TimePoint now) const {
  const auto first =
      std::find_if(m_starts.begin(), m_starts.end(),
                   [now](TimePoint start) { return now - start < kWindow; });
  return static_cast<std::size_t>(m_starts.end() - first);
}

Duration ColdStartLimiter::WaitFor(TimePoint now, std::size_t ahead) const {
  if (!is_limited())
    return Duration::zero();
  const std::size_t capacity = Capacity(now);
  // An earlier process may have used up the tolerated starts.
  if (capacity == 0)
    return m_unknown_until - now;
  const std::size_t starts = StartsInWindow(now);
  if (starts + ahead < capacity)
    return Duration::zero();
  // Each start allows another one when it leaves the window: first the recorded
  // starts, then those that can be made now, then their successors.
  const std::size_t leaving = starts + ahead - capacity;
  const std::size_t turn = leaving % capacity;
  const auto windows = static_cast<std::int64_t>(leaving / capacity) + 1;
  const TimePoint start =
      turn < starts ? m_starts[m_starts.size() - starts + turn] : now;
  return start + kWindow * windows - now;
}

}  // namespace bulrushmount
