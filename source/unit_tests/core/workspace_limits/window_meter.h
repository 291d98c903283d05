// Checks the bound on the requests of a workspace in any window, and the naive
// limiter that the fleet is compared with.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_WINDOW_METER_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_WINDOW_METER_H_

#include <algorithm>
#include <cstddef>
#include <deque>

#include "core/common/time.h"
#include "core/workspace_limits/workspace_limits_settings.h"

namespace bulrushmount {

// Counts the forwarded requests of one workspace over all nodes in every
// window. The worst window ends at a request, so only those are checked.
class WindowMeter {
 public:
  explicit WindowMeter(Duration window) : m_window(window) {}

  void OnForwarded(TimePoint now) {
    m_times.push_back(now);
    while (now - m_times.front() >= m_window)
      m_times.pop_front();
    m_worst = std::max(m_worst, m_times.size());
  }

  // The largest number of requests in any window.
  std::size_t worst() const { return m_worst; }
  void ResetWorst() { m_worst = 0; }

 private:
  Duration m_window;
  std::deque<TimePoint> m_times;
  std::size_t m_worst = 0;
};

// The bound that a deployment states.
inline double WindowBound(const WorkspaceLimitsSettings& settings,
                          const WorkspaceRate& rate) {
  const double base =
      rate.units_per_second * ToSeconds(settings.window) + rate.burst_units;
  return base * (1 + settings.overage) + settings.slack;
}

// One bucket for the whole fleet, without messages: obviously right.
class NaiveLimiter {
 public:
  NaiveLimiter(const WorkspaceRate& rate, TimePoint now)
      : m_rate(rate), m_level(rate.burst_units), m_at(now) {}

  bool Admit(TimePoint now) {
    m_level = std::min(m_rate.burst_units, m_level + m_rate.units_per_second *
                                                         ToSeconds(now - m_at));
    m_at = now;
    if (m_level < 1)
      return false;
    m_level -= 1;
    return true;
  }

 private:
  WorkspaceRate m_rate;
  double m_level;
  TimePoint m_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_WINDOW_METER_H_
