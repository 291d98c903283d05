// Implements `entry_side.h`.

#include "core/node_logic/entry_side.h"

#include <memory>
#include <utility>

#include "core/common/logging.h"
#include "core/pipeline/claim_filter.h"
#include "core/pipeline/contract_filter.h"
#include "core/pipeline/fleet_limit_filter.h"
#include "core/pipeline/limit_filter.h"
#include "core/pipeline/quarantine_filter.h"
#include "core/pipeline/refusals.h"
#include "core/pipeline/retry_after_policy.h"
#include "core/pipeline/route_filter.h"
#include "core/pipeline/throttle_filter.h"
#include "core/routing/decaying_retry_budget.h"
#include "core/routing/fleet_retry_budget.h"

namespace bulrushmount::detail {

namespace {

DispatcherSettings MakeDispatcherSettings(const NodeSettings& settings) {
  DispatcherSettings dispatcher;
  dispatcher.self = settings.id;
  dispatcher.zone = settings.zone;
  dispatcher.zone_kilobyte = settings.zone_kilobyte;
  dispatcher.zone_spare_time_part = settings.zone_spare_time_part;
  dispatcher.max_attempts = settings.max_attempts;
  dispatcher.refusals_cost_no_retry = settings.refusals_cost_no_retry;
  const PolicySwitches& policies = settings.policies;
  dispatcher.selective_attempts =
      policies.selective_starts ? settings.selective_attempts : 0;
  dispatcher.accepts_near_best = policies.best_reported_starts;
  dispatcher.leaves_silent_owners = policies.leave_silent;
  dispatcher.bounds_refusals =
      settings.refusals_cost_no_retry && policies.ask_budget;
  dispatcher.has_objectives = settings.has_route_document;
  return dispatcher;
}

std::unique_ptr<RetryBudget> MakeRetryBudget(const NodeSettings& settings) {
  if (settings.has_route_document) {
    FleetRetryBudgetSettings fleet;
    fleet.window = settings.retry_window;
    fleet.fraction = settings.retry_budget_fraction;
    fleet.slack = settings.retry_slack;
    return std::make_unique<FleetRetryBudget>(fleet);
  }
  DecayingRetryBudgetSettings own;
  own.fraction = settings.retry_budget_fraction;
  return std::make_unique<DecayingRetryBudget>(own);
}

}  // namespace

EntrySide::EntrySide(const NodeSettings& settings, const Parts& parts)
    : m_parts(parts),
      m_retries(MakeRetryBudget(settings)),
      m_pipeline(*this),
      m_dispatcher(MakeDispatcherSettings(settings),
                   Dispatcher::Parts{m_pipeline, parts.router, *m_retries,
                                     parts.claims, parts.notices, parts.owners,
                                     parts.random, parts.actions, this}),
      m_has_route_document(settings.has_route_document),
      m_has_retry_after_policy(settings.policies.retry_after) {
  AddFilters(settings);
}

void EntrySide::OnCallArrived(TimePoint now, CallArrived event) {
  // The id belongs to a call in progress. A second call with it would take over
  // resources of the first or end it with two outcomes.
  if (m_pipeline.Find(event.call))
    return;
  m_last_arrival = now;
  if (now >= m_refuse_from) {
    m_parts.actions.Push(AnswerCaller{
        event.call, Outcome::kNotRun, Reason::kDraining,
        RetryAfterFor(Reason::kDraining, LoadReport(), Duration::zero())});
    return;
  }
  m_pipeline.Start(now, event.call, std::move(event.head));
}

void EntrySide::OnTargetError(TimePoint now) {
  if (m_throttle)
    m_throttle->OnTargetError(now);
}

void EntrySide::OnCallAccepted(TimePoint now, Call& call) {
  // Without this check the node could exit while the call is in progress, and
  // its caller would lose an answer that another node could deliver.
  if (call.deadline > m_ends_at) {
    m_pipeline.End(now, call.id,
                   CallEnd{Outcome::kNotRun, Reason::kDraining, {}, false});
    return;
  }
  m_dispatcher.Start(now, call);
}

void EntrySide::OnDeadline(TimePoint now, Call& call) {
  m_dispatcher.OnDeadline(now, call);
}

void EntrySide::OnPermitLost(TimePoint now, Call& call) {
  m_dispatcher.OnPermitLost(now, call);
}

void EntrySide::OnCallEnded(TimePoint now, Call& call, const CallEnd& end) {
  Answer(now, call, end);
  Record(now, call, end);
}

void EntrySide::OnRepeated(TimePoint now, const Call& call) {
  if (m_has_route_document && !call.head.workspace.value().empty())
    m_parts.fleet_limiter.TakeOwed(now, call.head.workspace);
}

// Cheap checks without side effects run first; filters that acquire something
// or write to the table run last.
void EntrySide::AddFilters(const NodeSettings& settings) {
  if (m_has_route_document) {
    m_pipeline.AddFilter(std::make_unique<RouteFilter>(
        m_parts.routes, m_pipeline,
        WorkspaceCheck(m_parts.confirmation, settings.max_unconfirmed_document),
        settings.policies.retry_detector));
    m_pipeline.AddFilter(
        std::make_unique<FleetLimitFilter>(m_parts.fleet_limiter, m_pipeline));
  } else {
    m_pipeline.AddFilter(std::make_unique<ContractFilter>(
        m_parts.contracts, m_pipeline, settings.max_answer_time));
    m_pipeline.AddFilter(std::make_unique<LimitFilter>(m_parts.limiter));
  }
  // Throttles only if refusals cost no retry; otherwise the retry budget limits
  // the attempts.
  if (settings.refusals_cost_no_retry && settings.policies.throttle) {
    auto throttle = std::make_unique<ThrottleFilter>(m_parts.random);
    m_throttle = throttle.get();
    m_pipeline.AddFilter(std::move(throttle));
  }
  m_pipeline.AddFilter(std::make_unique<QuarantineFilter>(
      m_parts.quarantine, m_pipeline, m_parts.event_time,
      settings.needs_crash_to_suspect));
  m_pipeline.AddFilter(
      std::make_unique<ClaimFilter>(m_parts.claims, m_pipeline));
}

// The only place that sends a final answer to a caller, except for complete
// answers relayed from a target.
void EntrySide::Answer(TimePoint now, const Call& call, const CallEnd& end) {
  if (end.is_replay) {
    m_parts.actions.Push(ReplayAnswer{
        call.id, end.answer.status, end.answer.content_type, end.answer.body});
    return;
  }
  if (end.outcome == Outcome::kAnswered || call.is_caller_disconnected)
    return;
  if (call.answer_begun_at) {
    m_parts.actions.Push(AbortAnswer{call.id});
    return;
  }
  m_parts.actions.Push(AnswerCaller{call.id, end.outcome, end.reason,
                                    RetryAfterOf(now, call, end)});
}

std::optional<Duration> EntrySide::RetryAfterOf(TimePoint now,
                                                const Call& call,
                                                const CallEnd& end) const {
  if (end.retry_after)
    return end.retry_after;
  if (IsShedAtRandom(now, call, end))
    return DrawImmediateRetryAfter(m_parts.random);
  return RetryAfterFor(end.reason, call.last_load, call.deadline - now);
}

bool EntrySide::IsShedAtRandom(TimePoint now,
                               const Call& call,
                               const CallEnd& end) const {
  return m_has_retry_after_policy && end.reason == Reason::kShed &&
         HasRoom(call.last_load) &&
         m_dispatcher.shed_shares().IsImmediateRetryWorthwhile(
             now, call.head.service);
}

std::optional<Duration> EntrySide::RetryAfterFor(Reason reason,
                                                 const LoadReport& load,
                                                 Duration left) const {
  if (!m_has_retry_after_policy)
    return std::nullopt;
  return DrawRetryAfter(reason, load, left, m_parts.random);
}

void EntrySide::Record(TimePoint now, const Call& call, const CallEnd& end) {
  LogLine line(LogLevel::kInfo, "call.ended");
  line.Add("request_id", call.head.request_id)
      .Add("host", call.head.host)
      .Add("kind", call.terms.kind.name)
      .Add("service", call.head.service)
      .Add("outcome", ToToken(end.outcome))
      .Add("reason", TraitsOf(end.reason).token)
      .Add("status", call.answer_status)
      .Add("attempts", call.attempts_made)
      .Add("hand_overs", call.hand_overs)
      .Add("last_refusal", TraitsOf(call.last_refusal).token)
      .Add("throttled_share", call.throttled_share)
      .Add("client_timeout_ms",
           ToMilliseconds(call.head.deadline.value_or(Duration::zero())))
      .Add("waited_before_ms", ToMilliseconds(call.waited_before))
      .Add("ms", ToMilliseconds(now - call.arrived_at));
  if (!call.head.workspace.value().empty())
    line.Add("workspace", call.head.workspace);
  if (!end.detail.empty())
    line.Add("detail", end.detail);
  // A call that is refused before a service is selected has no deadline.
  if (call.deadline != TimePoint::max())
    line.Add("left_ms", ToMilliseconds(call.deadline - now));
  m_parts.metrics.OnCall(call.head.service, end.outcome, end.reason,
                         call.answer_begun_at.value_or(now) - call.arrived_at);
  m_parts.metrics.OnAttempts(call.attempts_made);
  const bool has_terms = call.next_filter > 0;
  if (!has_terms)
    return;
  CallRecord record;
  // The series of a routing document are those of its routes: thousands of
  // workspaces would need more memory than the histograms may use.
  if (!m_has_route_document)
    record.workspace = call.head.workspace;
  record.service = call.head.service;
  record.kind = call.terms.kind.name;
  record.outcome = end.outcome;
  record.reason = end.reason;
  record.latency = call.answer_begun_at.value_or(now) - call.arrived_at;
  record.objective = call.terms.kind.objective;
  record.weight = call.terms.kind.weight;
  m_parts.recorder.Record(now, record);
}

}  // namespace bulrushmount::detail
