// Implements `limit_filter.h`.

#include "core/pipeline/limit_filter.h"

namespace bulrushmount {

FilterVerdict LimitFilter::OnCall(TimePoint now, Call& call) {
  const Reason reason =
      m_limiter.TryAdmit(now, call.head.workspace, call.terms.kind.weight);
  if (reason != Reason::kNone)
    return RefuseCall(reason);
  call.holds_limit = true;
  return PassCall{};
}

void LimitFilter::OnCallEnded(TimePoint now, Call& call, const CallEnd& end) {
  if (call.holds_limit)
    m_limiter.OnCallEnded(now, call.head.workspace);
  call.holds_limit = false;
}

}  // namespace bulrushmount
