// Whether a target that announces itself again and again has stopped to. One
// that announces itself once only has no period, and is never missed.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_

#include <chrono>
#include <optional>

#include "core/common/time.h"

namespace bulrushmount::detail {

class AnnouncementWatch {
 public:
  // `is_same`: of the same start of the target as the one before.
  void OnAnnounced(TimePoint now, bool is_same) {
    const Duration since = now - m_last;
    if (!is_same)
      m_period.reset();
    else if (since >= kShortestPeriod)
      m_period = since;
    m_last = now;
  }

  // Whether one more is missing at `now`; to be asked until it says no.
  bool TakeMissed(TimePoint now) {
    if (now < NextCheck())
      return false;
    m_last += *m_period;
    return true;
  }

  // When the next one counts as missing; max without a period.
  TimePoint NextCheck() const {
    return m_period ? m_last + 2 * *m_period : TimePoint::max();
  }

 private:
  // Announcements closer together than this are one burst, not a period.
  static constexpr Duration kShortestPeriod = std::chrono::milliseconds(100);

  // When the last one came, or should have.
  TimePoint m_last;
  std::optional<Duration> m_period;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_
