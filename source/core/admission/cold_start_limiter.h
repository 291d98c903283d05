// Bounds the rate of starts at a target that is cold, or may be.
//
// Load pattern: a target that was restarted tolerates few requests a second
// until it is warm, and crashes above that. After a loss of power all targets
// of a service are cold at once; without a bound the load of the service falls
// on the few that are up, each crashes and starts again cold, and the service
// does not recover while the load lasts.
//
// A target may become cold at any moment, and only its health endpoint reports
// it. So starts since the last report that it is warm count as starts at a cold
// target, and the owner asks again before they use up what one tolerates.

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
  // What a cold target tolerates within any second: its rate times `overage`,
  // and `slack` requests more.
  double overage = 1.0;
  double slack = 0;
};

class ColdStartLimiter : public StartGate {
 public:
  // `now` is the start of the process: what an earlier one has started within
  // the last second is not known, and left room for.
  ColdStartLimiter(const ColdStartSettings& settings, TimePoint now);

  // Requests a second that the target tolerates while cold; empty: no bound.
  void SetRate(std::optional<double> per_second) { m_rate = per_second; }

  // Another target, or another process of it, has taken the place: this process
  // has started nothing on it yet.
  void OnReplaced(TimePoint now);

  // The target reports that it stays cold for this long. 0 is ignored: the
  // report may be old.
  void OnColdReported(TimePoint now, Duration cold_time_left);

  // The health endpoint's answer to a question that was sent at `asked_at`.
  void OnVerified(TimePoint now, TimePoint asked_at, Duration cold_time_left);
  // The health endpoint did not answer, or its answer did not say.
  void OnVerificationFailed(TimePoint now);

  bool is_limited() const { return m_rate.has_value(); }
  bool IsCold(TimePoint now) const { return now < m_cold_until; }
  // Whether the health endpoint had better be asked.
  bool NeedsVerification(TimePoint now) const;
  // Requests that may run at once while the rate holds, each for
  // `service_time`; empty without a bound.
  std::optional<std::size_t> Concurrency(TimePoint now,
                                         Duration service_time) const;
  // When MayStart may become true; `now` or earlier if it is.
  TimePoint NextStart(TimePoint now) const;

  bool MayStart(TimePoint now) const override;
  Duration ExpectedWait(TimePoint now, std::size_t ahead) const override;
  void OnStarted(TimePoint now) override;

 private:
  // Starts within any window at a target that is cold, or is not known to be
  // warm.
  std::size_t Capacity(TimePoint now) const;
  std::size_t StartsInWindow(TimePoint now) const;
  Duration WaitFor(TimePoint now, std::size_t ahead) const;
  // What the target tolerates in addition to the starts of an earlier process.
  std::size_t Reserve() const;

  const ColdStartSettings m_settings;
  std::optional<double> m_rate;
  // Starts that the target may have got while cold, oldest first; those that
  // have left the window go with the next one.
  std::deque<TimePoint> m_starts;
  TimePoint m_cold_until;
  // Until then an earlier process may have used up the window.
  TimePoint m_unknown_until;
  std::optional<TimePoint> m_failed_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_COLD_START_LIMITER_H_
