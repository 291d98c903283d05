// Last reported slowdown of the node's target. Interference by other processes
// on its machine changes it many times a second.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_SPEED_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_SPEED_H_

#include <optional>

#include "core/common/time.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

class TargetSpeed {
 public:
  void OnLoadSample(TimePoint now, const TargetLoadSample& sample) {
    m_sample = sample;
    m_reported_at = now;
  }

  // Clears the report when another target replaces this one.
  void Forget() { m_sample.reset(); }

  // Whether the target has reported its speed.
  bool is_reported() const { return m_sample.has_value(); }

  // Last report, as a multiple of the normal service time; 1 without a report.
  double slowdown() const { return m_sample ? m_sample->slowdown : 1.0; }

  TimePoint reported_at() const { return m_reported_at; }
  // Age of the last report; zero without one.
  Duration AgeAt(TimePoint now) const {
    return m_sample ? now - m_reported_at : Duration::zero();
  }

 private:
  std::optional<TargetLoadSample> m_sample;
  TimePoint m_reported_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_SPEED_H_
