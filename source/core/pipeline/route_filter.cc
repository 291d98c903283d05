// Implements `route_filter.h`.

#include "core/pipeline/route_filter.h"

#include <algorithm>
#include <optional>

namespace bulrushmount {

FilterVerdict RouteFilter::OnCall(TimePoint now, Call& call) {
  if (!m_routes.is_known())
    return RefuseCall(Reason::kConfigurationUnknown);
  const Route* const matched =
      m_routes.FindRoute(call.head.host, call.head.target);
  if (!matched)
    return RefuseCall(Reason::kNoRoute);
  const Route& route = *matched;
  KindTerms& kind = call.terms.kind;
  kind.name = route.name;
  const WorkspaceVerdict workspace =
      m_workspaces.Check(now, route, m_routes.workspaces(), call.head.key);
  if (workspace.refusal != Reason::kNone)
    return RefuseCall(workspace.refusal);
  if (workspace.workspace)
    call.head.workspace = workspace.workspace->name;
  call.terms.are_workspaces_checked = m_routes.workspaces().is_in_use();
  call.head.service = m_routes.SelectService(route);
  kind.is_repeatable = route.is_repeatable;
  kind.key_policy = KeyPolicy::kOptional;
  kind.deadline = route.timeout;
  kind.objective.within = route.latency_objective;
  call.terms.priority = workspace.PriorityOn(route);
  call.terms.max_hand_overs = route.max_attempts;
  // The caller may shorten the timeout of the route but not extend it.
  call.deadline =
      now + std::min(call.head.deadline.value_or(route.timeout), route.timeout);
  // The timeout of a route is the longest that the caller may be kept waiting
  // for a complete answer, also if the answer has begun and makes progress.
  call.answer_deadline = call.deadline;
  m_pipeline.ArmDeadline(call);
  if (m_detects_retries && call.head.deadline)
    call.waited_before =
        m_retry_detector.EstimateElapsed(now, route.name, *call.head.deadline);
  return PassCall{};
}

}  // namespace bulrushmount
