// How fast the target beside the node works, by its own word: others on its
// machine take their part of it, and that changes many times a second.

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

  // Another target has taken the place.
  void Forget() { m_sample.reset(); }

  // Whether the target tells its speed at all.
  bool is_reported() const { return m_sample.has_value(); }

  // As last told, as a multiple of the usual time; 1 if it never was.
  double slowdown() const { return m_sample ? m_sample->slowdown : 1.0; }

  TimePoint reported_at() const { return m_reported_at; }
  // Of that word; zero if there is none.
  Duration AgeAt(TimePoint now) const {
    return m_sample ? now - m_reported_at : Duration::zero();
  }

 private:
  std::optional<TargetLoadSample> m_sample;
  TimePoint m_reported_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_SPEED_H_
