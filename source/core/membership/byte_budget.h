// Limits the bandwidth that a node spends on gossip.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "core/common/time.h"

namespace bulrushmount {

// A token bucket of bytes. Under heavy packet loss, or when a region becomes
// reachable again, every node has news of every other, all datagrams fill up,
// and without a limit the gossip competes with calls for bandwidth. Heartbeats
// are always sent and may overdraw the bucket; news and table comparisons wait
// until it has refilled.
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
  bool HasReserve() const { return m_tokens > m_rate * kReserveSeconds; }

 private:
  // More than accumulates over this time counts as a reserve.
  static constexpr double kReserveSeconds = 1.6;

  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_updated;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_BYTE_BUDGET_H_
