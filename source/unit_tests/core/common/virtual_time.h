// A clock that only advances when a test moves it, with a queue of scheduled
// steps. Simulated networks of nodes run on it: each datagram delivery or timer
// is a step.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_COMMON_VIRTUAL_TIME_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_COMMON_VIRTUAL_TIME_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "core/common/time.h"

namespace bulrushmount {

class VirtualTime {
 public:
  using Step = std::function<void()>;

  TimePoint now() const { return m_now; }

  // Steps scheduled for the same time run in the order of these calls.
  void At(TimePoint time, Step step) { m_steps.emplace(time, std::move(step)); }
  void After(Duration delay, Step step) { At(m_now + delay, std::move(step)); }

  // Time of the first step; TimePoint::max() if there is none.
  TimePoint NextStep() const {
    return m_steps.empty() ? TimePoint::max() : m_steps.begin()->first;
  }

  // Advances the clock without running steps; ignores a time in the past.
  void MoveTo(TimePoint time) { m_now = std::max(m_now, time); }

  // Runs the first step if it is due; false if none is.
  bool RunDueStep() {
    if (NextStep() > m_now)
      return false;
    const Step step = std::move(m_steps.begin()->second);
    m_steps.erase(m_steps.begin());
    step();
    return true;
  }

  // Runs each step at its time, up to and including `end`.
  void RunTo(TimePoint end) {
    while (NextStep() <= end) {
      MoveTo(NextStep());
      RunDueStep();
    }
    MoveTo(end);
  }

 private:
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, Step> m_steps;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_COMMON_VIRTUAL_TIME_H_
