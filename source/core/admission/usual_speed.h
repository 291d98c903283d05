// What a target's told slowdown usually is of late: a target within its cold
// start, or on a machine that is busy for good, is slow without being
// disturbed.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_USUAL_SPEED_H_
#define BULRUSHMOUNT_CORE_ADMISSION_USUAL_SPEED_H_

#include <algorithm>
#include <optional>

#include "core/common/time.h"

namespace bulrushmount {

// The least slowdown told within one to two windows before now.
class UsualSpeed {
 public:
  explicit UsualSpeed(Duration window) : m_window(window) {}

  void OnReported(TimePoint now, double slowdown) {
    if (!m_current || now - m_begun >= m_window) {
      // A window without a word says nothing of the one before it.
      m_previous =
          m_current && now - m_begun < 2 * m_window ? m_current : std::nullopt;
      m_current = slowdown;
      m_begun = now;
    }
    m_current = std::min(*m_current, slowdown);
  }

  // 1 before the first word.
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

#endif  // BULRUSHMOUNT_CORE_ADMISSION_USUAL_SPEED_H_
