// Decides at an entry which calls are not worth an owner's time, since the
// called service would refuse them.
//
// Load pattern: for some seconds more calls come for a service than its targets
// can run. Each call that can't be served asks several owners in turn, which
// takes processor time of the very nodes that are short of it, so that less is
// answered than at full load. And requests that make several calls at once get
// one answered and one refused, so that the answered one was run in vain.
//
// So an entry sends hardly more calls than were answered of late, and refuses
// the rest at once; calls that come together share one verdict. That is for
// calls that targets make for their own requests. Among other calls an owner
// chooses better than an entry whom to refuse.

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
  // Whether the call may be sent to an owner. Each call that may is to end with
  // `OnAnswered`, `OnRefused`, or neither if its end says nothing of the load.
  bool Admit(TimePoint now, const CallClass& calls, RandomSource& random);

  // `has_room`: the target could have run another one beside it.
  void OnAnswered(TimePoint now, const CallClass& calls, bool has_room);
  // Owners that were asked had no room.
  void OnRefused(TimePoint now, const CallClass& calls);

  // Of the next calls, the part that is refused; in [0, 1).
  double RefusedShare(TimePoint now, const CallClass& calls) const;

 private:
  // Time constant of "recent": a few times what a call takes, and a fraction of
  // the seconds that bursts last.
  static constexpr Duration kMemory = std::chrono::milliseconds(500);

  struct Recent {
    DecayingSum calls{kMemory};
    // What of them the service can do, as the answers say.
    DecayingSum worth_sending{kMemory};
    // The newest verdict, and when it was made.
    bool is_admitted = true;
    TimePoint decided_at{};
  };

  // Null beyond the most classes that are looked at.
  Recent* Find(const CallClass& calls);

  std::map<CallClass, Recent> m_classes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ADAPTIVE_THROTTLE_H_
