// Bounds what a node spends on gossip, whatever happens in the fleet.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "core/common/time.h"

namespace bulrushmount {

// A token bucket. Symptom without it: at heavy loss or when a region returns,
// everybody has news of everybody, each datagram fills up, and control traffic
// competes with calls. Heartbeats themselves are always sent and may overdraw
// the budget; news and table comparisons wait until it has recovered.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst, TimePoint now)
      : m_rate(bytes_per_second),
        m_burst(burst),
        m_tokens(burst),
        m_updated(now) {}

  void Refill(TimePoint now) {
    if (now <= m_updated) {
      return;
    }
    m_tokens =
        std::min(m_burst, m_tokens + m_rate * ToSeconds(now - m_updated));
    m_updated = now;
  }

  void Spend(std::size_t bytes) { m_tokens -= static_cast<double>(bytes); }

  bool HasAny() const { return m_tokens > 0; }
  bool IsAmple() const { return m_tokens > m_rate * kAmpleSeconds; }

 private:
  // What is saved up for so long is ample.
  static constexpr double kAmpleSeconds = 1.6;

  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_updated;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_
