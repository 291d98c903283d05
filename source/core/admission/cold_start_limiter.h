// Limits the rate of starts on a target that is cold or may be cold.
//
// Load pattern: a target that was restarted tolerates few requests a second
// until it is warm, and crashes above that rate. After a power loss all targets
// of a service are cold at once. Without a limit the load of the service falls
// on the few that are up, each crashes and restarts cold, and the service does
// not recover while the load lasts.
//
// A target may become cold at any moment, and only its health endpoint reports
// it. So starts since the last report that it is warm count as starts on a cold
// target, and the owner queries the health endpoint again before they use up
// what a cold target tolerates.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_COLD_START_LIMITER_H_
#define BULRUSHMOUNT_CORE_ADMISSION_COLD_START_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "core/admission/start_gate.h"
#include "core/common/time.h"

namespace bulrushmount {

struct ColdStartSettings {
  // A cold target tolerates, within any second, its rate times `overage` plus
  // `slack` requests.
  double overage = 1.0;
  double slack = 0;
};

class ColdStartLimiter : public StartGate {
 public:
  // `now` is the start of the process. The starts of an earlier process within
  // the last second are unknown, so capacity is reserved for them.
  ColdStartLimiter(const ColdStartSettings& settings, TimePoint now);

  // Sets the requests a second that the target tolerates while cold; empty for
  // no limit.
  void SetRate(std::optional<double> per_second) { m_rate = per_second; }

  // The target was replaced by another one or by another process. This process
  // has started nothing on it yet.
  void OnReplaced(TimePoint now);

  // The target reports that it stays cold for this long. 0 is ignored, since
  // the report may be outdated.
  void OnColdReported(TimePoint now, Duration cold_time_left);

  // Handles the health endpoint's answer to a query that was sent at
  // `asked_at`.
  void OnVerified(TimePoint now, TimePoint asked_at, Duration cold_time_left);
  // The health endpoint did not answer, or its answer had no cold-start state.
  void OnVerificationFailed(TimePoint now);

  bool is_limited() const { return m_rate.has_value(); }
  bool IsCold(TimePoint now) const { return now < m_cold_until; }
  // Whether the health endpoint should be queried now.
  bool NeedsVerification(TimePoint now) const;
  // Concurrency that the rate of a cold target sustains if each request takes
  // `service_time`; empty if the rate is not limited now.
  std::optional<std::size_t> Concurrency(TimePoint now,
                                         Duration service_time) const;
  // Earliest time at which MayStart can return true; not after `now` if it
  // does.
  TimePoint NextStart(TimePoint now) const;

  bool MayStart(TimePoint now) const override;
  Duration ExpectedWait(TimePoint now, std::size_t ahead) const override;
  void OnStarted(TimePoint now) override;

 private:
  // Starts allowed within any window on a target that is cold or not known to
  // be warm.
  std::size_t Capacity(TimePoint now) const;
  std::size_t StartsInWindow(TimePoint now) const;
  Duration WaitFor(TimePoint now, std::size_t ahead) const;
  // Starts that the target tolerates in addition to those of an earlier
  // process.
  std::size_t UnknownWindowCapacity() const;

  const ColdStartSettings m_settings;
  std::optional<double> m_rate;
  // Starts while the target may have been cold, oldest first. Those that have
  // left the window are removed at the next start.
  std::deque<TimePoint> m_starts;
  TimePoint m_cold_until;
  // Until this time, starts of an earlier process may have used up the window.
  TimePoint m_unknown_until;
  std::optional<TimePoint> m_failed_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_COLD_START_LIMITER_H_
