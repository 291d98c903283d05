// Implements `dispatcher.h`; the choice between zones is in
// dispatcher_zones.cc.

#include "core/pipeline/dispatcher.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>

#include "core/admission/start_estimate.h"
#include "core/common/logging.h"
#include "core/pipeline/refusals.h"

namespace bulrushmount {

namespace {

constexpr int kFirstServerError = 500;

// Whether the request reached a target that did not run it.
bool ReachedTarget(Reason reason) {
  return reason == Reason::kShed || reason == Reason::kWrongTarget;
}

AnswerQuality QualityOf(int status) {
  return status >= kFirstServerError ? AnswerQuality::kServerError
                                     : AnswerQuality::kGood;
}

}  // namespace

Dispatcher::Dispatcher(const DispatcherSettings& settings, const Parts& parts)
    : m_settings(settings), m_parts(parts) {}

void Dispatcher::Start(TimePoint now, Call& call) {
  m_parts.retries.OnFirstAttempt(now, call.head.service);
  m_ask_budget.OnCall(now, call.head.service);
  TryNextOwner(now, call);
}

void Dispatcher::OnRefused(TimePoint now, const AttemptRefused& event) {
  Call* call = FindAttempt(event.call, event.attempt);
  if (!call)
    return;
  m_parts.router.OnRefused(now, call->attempt->dispatch, event.reason,
                           event.load);
  call->last_refusal = event.reason;
  RecordLoadReport(now, *call, event.load);
  const bool reached_target = ReachedTarget(event.reason);
  if (reached_target)
    ++call->hand_overs;
  if (event.reason == Reason::kShed)
    m_shed_shares.OnShed(now, call->head.service);
  const NodeId owner = call->attempt->dispatch.node;
  const bool is_in_zone = IsInOwnZone(owner);
  if (IsCapacityRefusal(event.reason)) {
    const bool has_room = event.load.limit == 0 || HasRoom(event.load);
    m_ask_budget.OnRefused(now, call->head.service, has_room);
    call->refusals_in_zone += is_in_zone ? 1 : 0;
  }
  if (event.reason == Reason::kSlowTarget)
    call->offers.Add({owner, event.load.slowdown, is_in_zone});
  // Another owner would also refuse a suspect or quarantined request. Once the
  // ask budget is spent, a refusal for lack of capacity ends the call as well;
  // a refusal by a draining owner does not.
  const bool may_retry =
      event.reason != Reason::kQuarantined &&
      event.reason != Reason::kSuspect &&
      !(call->attempt->is_ask_budget_spent && IsCapacityRefusal(event.reason));
  if (EndAttempt(now, *call, may_retry, reached_target))
    TryNextOwner(now, *call);
  else
    GiveUp(now, *call, event.reason);
}

void Dispatcher::OnAnswerBegun(TimePoint now, const AttemptAnswerBegun& event) {
  Call* call = FindAttempt(event.call, event.attempt);
  if (!call || call->attempt->is_answer_begun)
    return;
  m_parts.router.OnAnswerBegun(now, call->attempt->dispatch, event.load,
                               QualityOf(event.status));
  RecordLoadReport(now, *call, event.load);
  m_shed_shares.OnAnswered(now, call->head.service);
  m_ask_budget.OnAnswered(now, call->head.service, HasRoom(event.load));
  m_parts.pipeline.OnAnswerBegun(now, *call);
  call->attempt->is_answer_begun = true;
  call->answer_status = event.status;
  const std::size_t kept =
      call->claim ? m_settings.max_kept_answer_bytes : std::size_t{0};
  m_parts.actions.Push(RelayAnswer{call->id, event.attempt, kept});
}

void Dispatcher::OnAnswerEnded(TimePoint now, const AttemptAnswerEnded& event) {
  Call* call = FindAttempt(event.call, event.attempt);
  // An answer that has not begun cannot be complete.
  if (!call || !call->attempt->is_answer_begun)
    return;
  m_parts.router.OnEnded(now, call->attempt->dispatch, event.load);
  if (!WasPausedSince(call->attempt->dispatch)) {
    m_profiles.OnAnswer(
        call->terms.kind.name, event.bytes,
        *call->answer_begun_at - call->attempt->dispatch.sent_at);
  }
  EndAttempt(now, *call, false, true);
  CallEnd end;
  end.outcome = Outcome::kAnswered;
  end.answer.status = call->answer_status;
  end.answer.is_body_kept = event.kept.has_value();
  if (event.kept) {
    end.answer.content_type = event.kept->content_type;
    end.answer.body = event.kept->body;
  }
  m_parts.pipeline.End(now, call->id, end);
}

// A report without a limit comes from an owner whose target accepts no work, so
// its slowdown is not recorded.
void Dispatcher::RecordLoadReport(TimePoint now,
                                  Call& call,
                                  const LoadReport& load) {
  call.last_load = load;
  m_parts.notices.OnReported(load);
  if (load.limit > 0 && !WasPausedSince(call.attempt->dispatch))
    m_slowdown_threshold.OnReported(now, call.head.service,
                                    call.attempt->dispatch.node, load.slowdown);
}

void Dispatcher::OnLost(TimePoint now, const AttemptLost& event) {
  Call* call = FindAttempt(event.call, event.attempt);
  if (!call)
    return;
  if (event.is_body_consumed) {
    EndUnsent(now, *call);
    return;
  }
  m_parts.router.OnLost(now, call->attempt->dispatch);
  const bool may_retry =
      event.is_certainly_not_run || MayRetryUnknownOutcome(*call, event.reason);
  if (event.is_certainly_not_run) {
    call->last_refusal = event.reason;
  } else {
    ++call->hand_overs;
    RecordUnknownOutcome(*call, event.reason);
  }
  if (EndAttempt(now, *call, may_retry, !event.is_certainly_not_run))
    TryNextOwner(now, *call);
  else
    GiveUp(now, *call, event.reason);
}

// The owner of the attempt has not failed, so this is no sample of it.
void Dispatcher::EndUnsent(TimePoint now, Call& call) {
  m_parts.router.OnCancelled(now, call.attempt->dispatch);
  EndAttempt(now, call, false, false);
  GiveUp(now, call, call.last_refusal);
}

void Dispatcher::OnSilent(TimePoint now, const AttemptSilent& event) {
  Call* call = FindAttempt(event.call, event.attempt);
  if (!call || call->attempt->is_answer_begun)
    return;
  const Dispatch dispatch = call->attempt->dispatch;
  LogLine(LogLevel::kInfo, "attempt.silent")
      .Add("request_id", call->head.request_id)
      .Add("owner", dispatch.node)
      .Add("ms", ToMilliseconds(now - dispatch.sent_at));
  if (!MayLeaveSilentOwner(*call) || !TakeRetry(now, *call)) {
    m_parts.router.OnSilent(now, dispatch);
    return;
  }
  m_parts.router.OnLost(now, dispatch);
  m_parts.actions.Push(CancelAttempt{call->id, event.attempt});
  ++call->hand_overs;
  RecordUnknownOutcome(*call, Reason::kNodeLost);
  call->attempt.reset();
  TryNextOwner(now, *call);
}

// Unless `refusals_cost_no_retry` is set, the retry is reserved for the attempt
// and cannot be spent while the attempt is in progress.
bool Dispatcher::MayLeaveSilentOwner(const Call& call) const {
  return m_settings.leaves_silent_owners && m_settings.refusals_cost_no_retry &&
         HasOtherOwners(call) &&
         MayRetryUnknownOutcome(call, Reason::kNodeLost);
}

void Dispatcher::OnStalled(TimePoint now, CallId id) {
  Call* call = m_parts.pipeline.Find(id);
  if (!call)
    return;
  AbandonAttempt(now, *call, Reason::kStalled);
  GiveUp(now, *call, Reason::kStalled);
}

void Dispatcher::OnCallerDisconnected(TimePoint now, CallId id) {
  Call* call = m_parts.pipeline.Find(id);
  if (!call)
    return;
  call->is_caller_disconnected = true;
  AbandonAttempt(now, *call, Reason::kCallerDisconnected);
  GiveUp(now, *call, Reason::kCallerDisconnected);
}

void Dispatcher::OnDeadline(TimePoint now, Call& call) {
  AbandonAttempt(now, call, Reason::kDeadlineExceeded);
  GiveUp(now, call, Reason::kDeadlineTooShort);
}

void Dispatcher::OnPermitLost(TimePoint now, Call& call) {
  AbandonAttempt(now, call, Reason::kNodeLost);
  GiveUp(now, call, Reason::kSuspect);
}

void Dispatcher::OnPaused(TimePoint now) {
  m_resumed_at = now;
  m_parts.router.OnPaused(now);
}

Call* Dispatcher::FindAttempt(CallId id, AttemptNumber number) {
  Call* call = m_parts.pipeline.Find(id);
  if (!call || !call->attempt || call->attempt->number != number)
    return nullptr;
  return call;
}

void Dispatcher::TryNextOwner(TimePoint now, Call& call) {
  if (!MaySend(now, call)) {
    GiveUp(now, call, Reason::kDeadlineTooShort);
    return;
  }
  bool is_selective = false;
  const std::optional<NodeId> picked = PickOwner(now, call, is_selective);
  const Member* owner = picked ? m_parts.owners.FindOwner(*picked) : nullptr;
  if (!owner) {
    const Reason reason = call.last_refusal == Reason::kNone
                              ? Reason::kNoTarget
                              : call.last_refusal;
    GiveUp(now, call, reason);
    return;
  }
  Send(now, call, *owner, is_selective);
}

std::optional<NodeId> Dispatcher::PickOwner(TimePoint now,
                                            Call& call,
                                            bool& is_selective) {
  const bool may_choose =
      call.selective_attempts < m_settings.selective_attempts &&
      MayTryAnotherOwner(now, call);
  if (!may_choose) {
    if (const std::optional<NodeId> best = TakeOffer(now, call))
      return best;
  }
  const PickRequest request{call.terms.kind.weight, call.deadline - now,
                            call.tried, ZoneAdvantage(now, call)};
  const std::optional<NodeId> picked =
      m_parts.router.Pick(now, call.head.service, request, m_parts.random);
  if (!picked)
    return TakeOffer(now, call);
  is_selective = may_choose;
  return picked;
}

bool Dispatcher::MaySend(TimePoint now, Call& call) {
  if (now >= call.deadline)
    return false;
  if (!call.claim)
    return true;
  if (m_parts.claims.CheckBeforeDispatch(now, *call.claim))
    return true;
  // The claim book has already recorded the result of the claim.
  call.claim.reset();
  return false;
}

std::optional<NodeId> Dispatcher::TakeOffer(TimePoint now, Call& call) {
  const std::optional<Offer> offer =
      call.offers.TakeBest(OfferAdvantage(now, call));
  if (!offer)
    return std::nullopt;
  m_slowdown_threshold.OnTaken(now, call.head.service, offer->slowdown);
  return offer->node;
}

void Dispatcher::Send(TimePoint now,
                      Call& call,
                      const Member& owner,
                      bool is_selective) {
  if (call.hand_overs >= call.charged_hand_overs) {
    call.charged_hand_overs = call.hand_overs + 1;
    if (m_parts.repeats)
      m_parts.repeats->OnRepeated(now, call);
  }
  ++call.attempts_made;
  if (is_selective)
    ++call.selective_attempts;
  call.tried.push_back(owner.id);
  const Attempt attempt{AttemptNumber(call.attempts_made),
                        Dispatch{owner.id, call.terms.kind.weight, now},
                        false,
                        is_selective || ReserveRetry(now, call),
                        is_selective,
                        !is_selective && !MayTryAnotherOwner(now, call)};
  call.attempt = attempt;
  m_parts.router.OnSent(attempt.dispatch);
  m_parts.actions.Push(DispatchAttempt{
      call.id, attempt.number, owner.id, owner.stream_endpoint,
      MakeWorkHead(now, call, owner), call.terms.are_workspaces_checked});
}

bool Dispatcher::HasOtherOwners(const Call& call) const {
  return call.tried.size() < m_parts.router.TargetsOf(call.head.service) ||
         !call.offers.empty();
}

bool Dispatcher::ReserveRetry(TimePoint now, const Call& call) {
  return call.attempts_made < m_settings.max_attempts && HasOtherOwners(call) &&
         (m_settings.refusals_cost_no_retry ||
          m_parts.retries.Reserve(now, call.head.service));
}

bool Dispatcher::MayTryAnotherOwner(TimePoint now, const Call& call) {
  return !m_settings.bounds_refusals ||
         m_ask_budget.MayTryAnotherOwner(
             now, call.head.service,
             m_parts.router.TargetsOf(call.head.service));
}

double Dispatcher::AcceptableSlowdown(TimePoint now, const Call& call) const {
  const std::size_t enough =
      m_settings.accepts_near_best
          ? std::min<std::size_t>(m_parts.router.TargetsOf(call.head.service),
                                  m_settings.selective_attempts)
          : std::numeric_limits<std::size_t>::max();
  return m_slowdown_threshold.Acceptable(now, call.head.service, enough);
}

WorkHead Dispatcher::MakeWorkHead(TimePoint now,
                                  const Call& call,
                                  const Member& owner) const {
  WorkHead head;
  head.request_id = call.head.request_id;
  head.entry = m_settings.self;
  head.workspace = call.head.workspace;
  head.service = call.head.service;
  head.kind = call.terms.kind.name;
  head.method = call.head.method;
  head.target = call.head.target;
  head.fingerprint = call.head.fingerprint;
  head.time_left = call.deadline - now;
  head.weight = call.terms.kind.weight;
  head.share = call.terms.share;
  head.is_repeatable = call.terms.kind.is_repeatable;
  head.is_suspect = call.holds_permit;
  // A selective attempt may later be repeated at the same owner, which does not
  // count as another owner: otherwise the owner would hold the request only
  // briefly, for alternatives that do not exist.
  head.is_last_attempt = !call.attempt->has_retry ||
                         call.attempt->is_ask_budget_spent ||
                         !HasOtherOwners(call);
  head.priority = call.terms.priority;
  if (m_settings.has_objectives)
    head.objective_left = call.ObjectiveLeft(now);
  if (call.attempt->is_selective) {
    head.max_slowdown = AcceptableSlowdown(now, call);
    if (owner.zone == m_settings.zone)
      head.max_slowdown += OfferAdvantage(now, call) / 2;
  }
  head.max_hold = MaxHold(now, call, owner);
  if (owner.target) {
    head.target_process = owner.target->process;
    head.target_rate_limit = m_parts.notices.RateLimitOf(head.target_process);
  }
  return head;
}

// A request that was running when its target was lost may have caused the
// crash: sending it on could crash the next target too.
bool Dispatcher::MayRetryUnknownOutcome(const Call& call, Reason reason) const {
  const bool may_have_crashed_target =
      reason == Reason::kTargetLost && !m_settings.refusals_cost_no_retry;
  return call.terms.kind.is_repeatable && !call.may_have_run &&
         !call.attempt->is_answer_begun && call.head.is_body_buffered &&
         !may_have_crashed_target && !call.holds_permit;
}

bool Dispatcher::EndAttempt(TimePoint now,
                            Call& call,
                            bool may_retry,
                            bool reached_target) {
  const bool has_retry = call.attempt->has_retry;
  call.attempt.reset();
  if (!has_retry)
    return false;
  if (m_settings.refusals_cost_no_retry)
    return may_retry && now < call.deadline &&
           (!reached_target || TakeRetry(now, call));
  if (may_retry && now < call.deadline) {
    m_parts.retries.Spend(now, call.head.service);
    return true;
  }
  m_parts.retries.Return(call.head.service);
  return false;
}

// Spends a retry if both the attempt limit of the route and the retry budget of
// the fleet allow it.
bool Dispatcher::TakeRetry(TimePoint now, const Call& call) {
  if (call.hand_overs >= call.terms.max_hand_overs ||
      !m_parts.retries.Reserve(now, call.head.service))
    return false;
  m_parts.retries.Spend(now, call.head.service);
  return true;
}

void Dispatcher::GiveUp(TimePoint now, Call& call, Reason reason) {
  CallEnd end{Outcome::kNotRun, reason, {}, false};
  // Once an attempt may have run, no later refusal can turn the result into
  // "not run".
  if (call.may_have_run) {
    end.outcome = Outcome::kUnknown;
    end.reason = call.unknown_reason;
  }
  m_parts.pipeline.End(now, call.id, end);
}

void Dispatcher::AbandonAttempt(TimePoint now, Call& call, Reason reason) {
  if (!call.attempt)
    return;
  m_parts.router.OnCancelled(now, call.attempt->dispatch);
  m_parts.actions.Push(CancelAttempt{call.id, call.attempt->number});
  RecordUnknownOutcome(call, reason);
  EndAttempt(now, call, false, true);
}

void Dispatcher::RecordUnknownOutcome(Call& call, Reason reason) {
  call.may_have_run = true;
  call.unknown_reason = reason;
}

}  // namespace bulrushmount
