// Refuses nested calls of the local target at the entry if the called service
// would probably refuse them; see adaptive_throttle.h.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_THROTTLE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_THROTTLE_FILTER_H_

#include "core/common/random.h"
#include "core/pipeline/adaptive_throttle.h"
#include "core/pipeline/filter.h"
#include "core/pipeline/nested_calls.h"

namespace bulrushmount {

class ThrottleFilter : public CallFilter {
 public:
  // `random` must outlive the object.
  explicit ThrottleFilter(RandomSource& random) : m_random(random) {}

  // The local target answered a request with an error.
  void OnTargetError(TimePoint now) { m_nested.OnTargetError(now); }

  FilterVerdict OnCall(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

 private:
  RandomSource& m_random;
  AdaptiveThrottle m_throttle;
  NestedCalls m_nested;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_THROTTLE_FILTER_H_
