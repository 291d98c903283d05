// Detects missing announcements of a target that announces itself periodically.
// A target that announces itself only once has no period and never counts as
// missing.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_

#include <chrono>
#include <optional>
#include <utility>

#include "core/common/time.h"

namespace bulrushmount::detail {

class AnnouncementWatch {
 public:
  // `is_same`: the announcement is from the same process start as the previous
  // one.
  void OnAnnounced(TimePoint now, bool is_same) {
    const Duration since = now - m_last;
    // An interval that contains a pause of this process defines no period.
    if (std::exchange(m_is_interval_unknown, false) && is_same) {
      m_last = now;
      return;
    }
    if (!is_same)
      m_period.reset();
    else if (since >= kMinPeriod)
      m_period = since;
    m_last = now;
  }

  // This process did not run for `length`. Announcements of that time have not
  // been read yet, so none is missing.
  void OnPaused(Duration length) {
    m_last += length;
    m_is_interval_unknown = true;
  }

  // Whether an announcement is missing at `now`; call repeatedly until it
  // returns false.
  bool ConsumeMissed(TimePoint now) {
    if (now < NextCheck())
      return false;
    m_last += *m_period;
    return true;
  }

  // Time at which the next announcement counts as missing; max without a
  // period.
  TimePoint NextCheck() const {
    return m_period ? m_last + 2 * *m_period : TimePoint::max();
  }

 private:
  // Announcements at shorter intervals belong to one burst and define no
  // period.
  static constexpr Duration kMinPeriod = std::chrono::milliseconds(100);

  // Time of the last announcement, received or missed, plus later pauses of
  // this process.
  TimePoint m_last;
  bool m_is_interval_unknown = false;
  std::optional<Duration> m_period;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_ANNOUNCEMENT_WATCH_H_
