// Time types. Decision modules (modules that make decisions and do no I/O)
// never read a clock: the time is passed in, so that a test controls it.

#ifndef BULRUSHMOUNT_CORE_COMMON_TIME_H_
#define BULRUSHMOUNT_CORE_COMMON_TIME_H_

#include <chrono>

namespace bulrushmount {

using Duration = std::chrono::nanoseconds;

// Monotonic and local to a node; it advances while the process is stopped.
// Never sent to another node: only durations are sent.
using TimePoint = std::chrono::steady_clock::time_point;

// For daemons and stand-ins only; decision modules take a `TimePoint`.
inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

constexpr Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_TIME_H_
