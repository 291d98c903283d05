// Part of `fleet_limit_filter.h`.

#include "core/pipeline/fleet_limit_filter.h"

namespace bulrushmount {

namespace {

// A request that no target has seen does not count against the limit.
bool WasForwarded(const Call& call, const CallEnd& end) {
  return end.outcome != Outcome::kNotRun || call.hand_overs > 0 ||
         call.may_have_run;
}

}  // namespace

FleetLimitFilter::FleetLimitFilter(FleetLimiter& limiter,
                                   FilterContinuation& continuation)
    : m_limiter(limiter), m_continuation(continuation) {
  m_limiter.SetListener(this);
}

FleetLimitFilter::~FleetLimitFilter() {
  m_limiter.SetListener(nullptr);
}

FilterVerdict FleetLimitFilter::OnCall(TimePoint now, Call& call) {
  // The requests of public routes and of documents without workspaces.
  if (call.head.workspace.value().empty())
    return PassCall{};
  // Inserted before the limiter is asked, which may decide before it returns.
  m_held.insert(call.id);
  const UnitDecision decision =
      m_limiter.Admit(now, call.id, call.head.workspace);
  if (decision.verdict == UnitVerdict::kHeld)
    return HoldCall{};
  m_held.erase(call.id);
  return ToVerdict(call.id, decision);
}

void FleetLimitFilter::OnUnitDecision(TimePoint now,
                                      CallId call,
                                      const UnitDecision& decision) {
  // The call may have ended meanwhile.
  if (m_held.erase(call) > 0)
    m_continuation.Resume(now, call, ToVerdict(call, decision));
}

FilterVerdict FleetLimitFilter::ToVerdict(CallId call,
                                          const UnitDecision& decision) {
  if (decision.verdict == UnitVerdict::kRefused) {
    CallEnd end;
    end.reason = Reason::kWorkspaceRateLimit;
    end.retry_after = decision.retry_after;
    end.detail = ToToken(decision.source);
    return EndCall{end};
  }
  if (decision.lease)
    m_leases.emplace(call, *decision.lease);
  return PassCall{};
}

void FleetLimitFilter::OnCallEnded(TimePoint now,
                                   Call& call,
                                   const CallEnd& end) {
  if (m_held.erase(call.id) > 0)
    m_limiter.Withdraw(call.id, call.head.workspace);
  const auto lease = m_leases.extract(call.id);
  if (!lease.empty() && !WasForwarded(call, end))
    m_limiter.GiveBack(now, call.head.workspace, lease.mapped());
}

}  // namespace bulrushmount
