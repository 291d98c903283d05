// Baseline of a target's reported slowdown, relative to which it counts as
// disturbed. A target in its cold start, or on a machine that is permanently
// busy, is slow without being disturbed.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_SLOWDOWN_BASELINE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_SLOWDOWN_BASELINE_H_

#include <algorithm>
#include <optional>

#include "core/common/time.h"

namespace bulrushmount {

// Minimum of the slowdowns that were reported within the last one to two
// windows.
class SlowdownBaseline {
 public:
  explicit SlowdownBaseline(Duration window) : m_window(window) {}

  void OnReported(TimePoint now, double slowdown) {
    if (!m_current || now - m_begun >= m_window) {
      // A window that ended more than one window ago is too old to be used.
      m_previous =
          m_current && now - m_begun < 2 * m_window ? m_current : std::nullopt;
      m_current = slowdown;
      m_begun = now;
    }
    m_current = std::min(*m_current, slowdown);
  }

  // 1 before the first report.
  double slowdown() const {
    const double current = m_current.value_or(1.0);
    return m_previous ? std::min(current, *m_previous) : current;
  }

 private:
  Duration m_window;
  TimePoint m_begun;
  std::optional<double> m_current;
  std::optional<double> m_previous;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_SLOWDOWN_BASELINE_H_
