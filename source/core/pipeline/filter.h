// A step of the entry pipeline: it passes a call on, ends it or holds it.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_FILTER_H_

#include <utility>
#include <variant>

#include "core/common/time.h"
#include "core/pipeline/call.h"

namespace bulrushmount {

struct PassCall {};

// The filter delivers its verdict later through `FilterContinuation::Resume`.
struct HoldCall {};

struct EndCall {
  CallEnd end;
};

using FilterVerdict = std::variant<PassCall, HoldCall, EndCall>;

inline FilterVerdict RefuseCall(Reason reason) {
  return EndCall{CallEnd{Outcome::kNotRun, reason, {}, false}};
}

// Delivers the later verdict of a filter that held a call.
class FilterContinuation {
 public:
  virtual ~FilterContinuation() = default;

  // Ignored if the call has ended meanwhile.
  virtual void Resume(TimePoint now, CallId call, FilterVerdict verdict) = 0;

  // Marks the call as the holder of a quarantine permit. False if the call has
  // ended.
  virtual bool TakePermit(CallId call) = 0;

  // This call may no longer be the only holder of the permit.
  virtual void OnPermitLost(TimePoint now, CallId call) = 0;
};

class CallFilter {
 public:
  virtual ~CallFilter() = default;

  virtual FilterVerdict OnCall(TimePoint now, Call& call) = 0;

  // The call ended in this filter or later: release what was acquired for it.
  // Called for every call that this filter has seen, in the reverse order of
  // the filters.
  virtual void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_FILTER_H_
