// Implements `throttle_filter.h`.

#include "core/pipeline/throttle_filter.h"

#include "core/pipeline/refusals.h"

namespace bulrushmount {

namespace {

CallClass ClassOf(const Call& call) {
  return {call.head.service, call.terms.kind.name};
}

bool IsRefusedByOwners(const Call& call, const CallEnd& end) {
  return end.outcome == Outcome::kNotRun && call.attempts_made > 0 &&
         IsCapacityRefusal(end.reason);
}

}  // namespace

FilterVerdict ThrottleFilter::OnCall(TimePoint now, Call& call) {
  if (!m_nested.IsNested(ClassOf(call)))
    return PassCall{};
  call.throttled_share = m_throttle.RefusedShare(now, ClassOf(call));
  if (m_throttle.Admit(now, ClassOf(call), m_random))
    return PassCall{};
  return RefuseCall(Reason::kThrottled);
}

void ThrottleFilter::OnCallEnded(TimePoint now,
                                 Call& call,
                                 const CallEnd& end) {
  if (end.outcome == Outcome::kAnswered)
    m_throttle.OnAnswered(now, ClassOf(call), HasRoom(call.last_load));
  else if (IsRefusedByOwners(call, end))
    m_throttle.OnRefused(now, ClassOf(call));
  if (end.outcome != Outcome::kAnswered && !call.is_caller_disconnected)
    m_nested.OnCallFailed(now, ClassOf(call));
}

}  // namespace bulrushmount
