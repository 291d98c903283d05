// Client-side throttling: refuses calls at their entry node that the called
// service would probably refuse anyway.
//
// Load pattern: for some seconds more calls arrive for a service than its
// targets can run. Each call that cannot be served is tried at several owners
// in turn, which uses processor time on nodes that are already short of it, so
// throughput drops below that at full load. A request that makes several calls
// at once often gets one answered and one refused, so the answered one was
// wasted.
//
// Therefore an entry sends, while targets are full, no more calls than were
// answered recently and refuses the rest at once; calls that arrive together
// share one decision.
// This applies only to calls that targets make while serving their own
// requests. For all other calls the owner has better information than the entry
// about which to refuse.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ADAPTIVE_THROTTLE_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ADAPTIVE_THROTTLE_H_

#include <chrono>
#include <map>

#include "core/common/decaying_sum.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/pipeline/call_class.h"

namespace bulrushmount {

class AdaptiveThrottle {
 public:
  // Whether the call may be sent to an owner. Each admitted call is reported
  // with `OnAnswered` or `OnRefused`, or with neither if its result gives no
  // information about load.
  bool Admit(TimePoint now, const CallClass& calls, RandomSource& random);

  // `has_room`: the target could have run another call concurrently.
  void OnAnswered(TimePoint now, const CallClass& calls, bool has_room);
  // Every owner that was tried had no capacity.
  void OnRefused(TimePoint now, const CallClass& calls);

  // Probability that the next call is refused; in [0, 1).
  double RefusedShare(TimePoint now, const CallClass& calls) const;

 private:
  // Time constant of the decaying sums: several times the duration of a call,
  // and a fraction of the seconds that a burst lasts.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  struct Recent {
    DecayingSum calls{kTimeConstant};
    // How many calls the service could have run, estimated from its answers.
    DecayingSum capacity{kTimeConstant};
    // The most recent decision and its time.
    bool is_admitted = true;
    TimePoint decided_at{};
  };

  // Null if the class is unknown and the limit of tracked classes is reached.
  Recent* Find(const CallClass& calls);

  std::map<CallClass, Recent> m_classes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ADAPTIVE_THROTTLE_H_
