// Part of `token_bucket.h`.

#include "core/limits/token_bucket.h"

#include <algorithm>

namespace bulrushmount {

TokenBucket::TokenBucket(TimePoint now, double rate, double burst)
    : m_rate(rate),
      m_burst(burst),
      m_level(burst),
      m_refilled_at(now),
      m_full_at(now) {}

bool TokenBucket::TryTake(TimePoint now, double units) {
  Refill(now);
  if (m_level < std::min(units, m_burst))
    return false;
  m_level -= units;
  return true;
}

void TokenBucket::Reconfigure(TimePoint now, double rate, double burst) {
  Refill(now);
  m_rate = rate;
  m_burst = burst;
  m_level = std::min(m_level, m_burst);
}

double TokenBucket::TakeUpTo(TimePoint now, double units) {
  Refill(now);
  const double taken = std::clamp(units, 0.0, std::max(0.0, m_level));
  m_level -= taken;
  return taken;
}

void TokenBucket::Fill() {
  m_level = m_burst;
}

void TokenBucket::SetLevel(TimePoint now, double level) {
  Refill(now);
  m_level = std::min(m_burst, level);
}

void TokenBucket::TakeOwed(TimePoint now, double units) {
  Refill(now);
  m_level -= units;
}

void TokenBucket::GiveBack(TimePoint now, TimePoint taken_at, double units) {
  Refill(now);
  if (m_full_at < taken_at)
    m_level = std::min(m_burst, m_level + units);
}

double TokenBucket::Level(TimePoint now) {
  Refill(now);
  return m_level;
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= m_refilled_at)
    return;
  const double earned = m_rate * ToSeconds(now - m_refilled_at);
  if (m_level + earned > m_burst)
    m_full_at = now;
  m_level = std::min(m_burst, m_level + earned);
  m_refilled_at = now;
}

}  // namespace bulrushmount
