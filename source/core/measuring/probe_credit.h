// Probes that the holder of a slot has sent: those of the last window and the
// one in flight. Unused probes do not accumulate.

#ifndef BULRUSHMOUNT_CORE_MEASURING_PROBE_CREDIT_H_
#define BULRUSHMOUNT_CORE_MEASURING_PROBE_CREDIT_H_

#include <deque>
#include <optional>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/measuring/budget_layout.h"
#include "core/measuring/measuring_settings.h"

namespace bulrushmount {

class ProbeCredit {
 public:
  // Earliest time from `now` on at which `share` allows a probe;
  // TimePoint::max() until the probe in flight ends.
  TimePoint EarliestProbe(TimePoint now,
                          const SlotShare& share,
                          const MeasuringSettings& settings) const;

  // `gives_up_at`: time from which a probe without an answer no longer counts.
  void Spend(TimePoint now, ProbeId probe, TimePoint gives_up_at);

  // The target has answered this probe.
  void OnAnswered(ProbeId probe);

  // The probe failed. The target may still be processing it, so it counts until
  // its timeout.
  void OnFailed(ProbeId probe);

  // Time from which no probe counts as in flight: TimePoint::min() if none does
  // now, TimePoint::max() until the probe in flight is answered or fails.
  TimePoint IdleAt() const;

 private:
  struct InFlight {
    ProbeId probe;
    TimePoint gives_up_at;
    // Its connection is closed.
    bool has_failed = false;
  };

  // Send times, in increasing order.
  std::deque<TimePoint> m_sent;
  std::optional<InFlight> m_in_flight;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_PROBE_CREDIT_H_
