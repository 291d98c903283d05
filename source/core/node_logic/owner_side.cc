// Implements `owner_side.h`: handling of requests. Failed exchanges are handled
// in owner_failures.cc, reports of the target in owner_target.cc.

#include "core/node_logic/owner_side.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

#include "core/common/logging.h"
#include "core/node_logic/owner_policies.h"

namespace bulrushmount::detail {

namespace {

constexpr int kFirstServerError = 500;

// See NeedsLoadSample.
constexpr Duration kMaxSampleAge = std::chrono::milliseconds(25);

// At most 20 probes per second of a target with interference while works wait.
// On average the end of interference is detected half this period late.
constexpr Duration kSpeedCheckPeriod = std::chrono::milliseconds(50);

// Time for which a request of a workspace shows that workspaces are in use.
// Nested calls compete only with requests that are present.
constexpr Duration kWorkspacePresenceTime = std::chrono::seconds(10);

}  // namespace

OwnerSide::OwnerSide(const NodeSettings& settings,
                     const RouteTable& routes,
                     const EvacuationTable& evacuations,
                     Quarantine& quarantine,
                     TrafficMetrics& metrics,
                     ActionSink& actions,
                     TimePoint now)
    : m_routes(routes),
      m_evacuations(evacuations),
      m_zone(settings.zone),
      m_quarantine(quarantine),
      m_metrics(metrics),
      m_actions(actions),
      m_life(LifeSettingsOf(settings)),
      m_cold_starts(settings.cold_start, now),
      m_admission(AdmissionSettingsOf(settings),
                  MakeConcurrencyLimit(settings),
                  &m_start_gate),
      m_time_limits(settings),
      m_health_checker(routes, actions),
      m_stream_ip(settings.stream_endpoint.ip),
      m_has_ranks(settings.policies.ranks),
      m_needs_crash(settings.needs_crash_to_suspect) {}

void OwnerSide::RecordEnd(TimePoint now,
                          const OwnedWork& work,
                          std::string_view result) const {
  LogEndedWork(now, work, result, LoadAt(now), m_speed);
  m_metrics.OnWork(result, work.WaitedAt(now));
  if (work.is_handed_over)
    m_metrics.OnRun(now - work.started_at);
}

void OwnerSide::OnWorkArrived(TimePoint now, const WorkArrived& event) {
  // The id belongs to an existing work: a second admission would hand it over
  // twice.
  if (m_works.contains(event.work))
    return;
  ApplyRelayedRateLimit(now, event.head);
  if (!event.head.workspace.value().empty())
    m_workspace_seen_at = now;
  const Reason reason = RefusalReason(now, event.head);
  OwnedWork work;
  work.head = event.head;
  work.arrived_at = now;
  work.deadline = now + event.head.time_left;
  if (reason != Reason::kNone) {
    RecordEnd(now, work, TraitsOf(reason).token);
    Refuse(now, event.work, reason);
    return;
  }
  const bool needs_load_sample = NeedsLoadSample(now, work);
  m_works.emplace(event.work, std::move(work));
  if (needs_load_sample)
    HoldForLoadSample(now, event.work);
  else
    Admit(now, event.work);
}

// No request is started based on a load sample older than kMaxSampleAge: with
// two speed changes per second, one start in forty falls into that time. It
// limits probes to 40 per second and target, independent of the request rate.
bool OwnerSide::NeedsLoadSample(TimePoint now, const OwnedWork& work) const {
  return work.head.max_slowdown > 0 && m_speed.is_reported() &&
         m_gate.current() && m_speed.AgeAt(now) > kMaxSampleAge;
}

void OwnerSide::HoldForLoadSample(TimePoint now, WorkId id) {
  m_health_checker.Hold(id);
  if (!m_health_checker.CheckSpeed(now, *m_gate.current()))
    ReleaseHeld(now);
}

void OwnerSide::ReleaseHeld(TimePoint now) {
  for (const WorkId id : m_health_checker.Release()) {
    const auto found = m_works.find(id);
    // The work was cancelled meanwhile.
    if (found == m_works.end())
      continue;
    // The target may have left meanwhile.
    const Reason reason = ClosedReason(found->second.head);
    if (reason != Reason::kNone)
      RefuseAdmitted(now, id, reason);
    else
      Admit(now, id);
  }
}

void OwnerSide::Admit(TimePoint now, WorkId id) {
  const OwnedWork& work = m_works.at(id);
  const WorkHead& head = work.head;
  const WorkClass work_class{RankOf(head), IsNested(now, head)};
  const bool is_too_slow =
      head.max_slowdown > 0 &&
      EstimateSlowdown(ConditionsOf(now, work_class)) > head.max_slowdown;
  if (is_too_slow && head.max_hold <= Duration::zero()) {
    RefuseAdmitted(now, id, Reason::kSlowTarget);
    return;
  }
  AdmissionRequest request;
  request.workspace = head.workspace;
  request.kind = head.kind;
  request.weight = head.weight;
  request.share = head.share;
  request.rank = work_class.rank;
  request.is_nested = work_class.is_nested;
  request.time_left = work.deadline - now;
  if (head.objective_left)
    request.objective_left = *head.objective_left - (now - work.arrived_at);
  if (is_too_slow)
    request.max_hold = head.max_hold;
  request.is_suspect = head.is_suspect;
  request.is_last_attempt = head.is_last_attempt;
  Apply(now, m_admission.Arrive(now, id, request));
}

void OwnerSide::RefuseAdmitted(TimePoint now, WorkId id, Reason reason) {
  const std::optional<OwnedWork> work = Take(id);
  RecordEnd(now, *work, TraitsOf(reason).token);
  m_quarantine.OnWorkEnded(work->admitted());
  Refuse(now, id, reason);
}

void OwnerSide::ApplyLoadSample(TimePoint now, const TargetLoadSample& sample) {
  m_speed.OnLoadSample(now, sample);
  m_admission.SetCold(m_cold_starts.IsCold(now));
  Apply(now, m_admission.SetSlowdown(now, sample.slowdown));
}

// A target may turn cold at any time, and after a restart it tolerates only few
// requests, so it is probed again before too many are started.
void OwnerSide::VerifyWarmState(TimePoint now) {
  if (m_gate.current() && m_cold_starts.NeedsVerification(now))
    m_health_checker.CheckSpeed(now, *m_gate.current());
}

// While works wait for interference to end, the target sends few answers that
// carry its speed, so it is probed.
void OwnerSide::CheckSpeedWhileHolding(TimePoint now) {
  if (now >= NextSpeedCheck())
    m_health_checker.CheckSpeed(now, *m_gate.current());
}

TimePoint OwnerSide::NextSpeedCheck() const {
  const bool is_waiting = m_admission.is_holding() && m_gate.current() &&
                          m_speed.is_reported() &&
                          !m_health_checker.IsCheckingSpeed();
  return is_waiting ? m_speed.reported_at() + kSpeedCheckPeriod
                    : TimePoint::max();
}

StartConditions OwnerSide::Conditions(TimePoint now) const {
  const LoadReport report = m_admission.load();
  const double usual = ToSeconds(report.service_time);
  const Duration wait = m_start_gate.ExpectedWait(now, report.queued);
  return {.in_flight = report.in_flight,
          .queued = report.queued,
          .limit = LimitAt(now),
          .slots = m_admission.slots(),
          .reported_slowdown = m_speed.slowdown(),
          .is_reported = m_speed.is_reported(),
          .is_cold = m_life.state() == TargetState::kWarming,
          .wait = usual > 0 ? ToSeconds(wait) / usual : 0.0};
}

// A cold target is limited to the concurrency that its cold rate keeps busy.
std::uint32_t OwnerSide::LimitAt(TimePoint now) const {
  const LoadReport report = m_admission.load();
  const Duration service_time =
      FromSeconds(ToSeconds(report.service_time) * m_speed.slowdown());
  const auto concurrency = m_cold_starts.Concurrency(now, service_time);
  if (!concurrency)
    return report.limit;
  return std::min(report.limit, static_cast<std::uint32_t>(*concurrency));
}

bool OwnerSide::IsNested(TimePoint now, const WorkHead& head) const {
  return head.workspace.value().empty() && m_workspace_seen_at &&
         now - *m_workspace_seen_at <= kWorkspacePresenceTime;
}

StartConditions OwnerSide::ConditionsOf(TimePoint now,
                                        const WorkClass& work_class) const {
  StartConditions conditions = Conditions(now);
  conditions.queued =
      static_cast<std::uint32_t>(m_admission.QueuedUpTo(work_class));
  return conditions;
}

LoadReport OwnerSide::LoadAt(TimePoint now) const {
  LoadReport report = m_admission.load();
  report.limit = LimitAt(now);
  report.slowdown = EstimateSlowdown(Conditions(now));
  report.process = m_process;
  report.notice = notice();
  return report;
}

void OwnerSide::OnWorkCancelled(TimePoint now, WorkId id) {
  const std::optional<OwnedWork> work = Take(id);
  if (!work) {
    m_failed_exchanges.OnCancelled(id);
    return;
  }
  RecordEnd(now, *work, "cancelled");
  if (work->is_handed_over)
    m_actions.Push(CancelWork{id});
  m_quarantine.OnWorkEnded(work->admitted());
  Apply(now, m_admission.OnCancelled(now, id));
}

void OwnerSide::OnAnswerBegun(TimePoint now, const TargetAnswerBegun& event) {
  const auto found = m_works.find(event.work);
  if (found == m_works.end() || !found->second.is_handed_over)
    return;
  ApplyNotice(now, found->second, event);
  if (event.is_shed) {
    EndNotRun(now, event.work, Reason::kShed, RequestResult::kShed);
    return;
  }
  if (event.is_wrong_target) {
    EndNotRun(now, event.work, Reason::kWrongTarget,
              RequestResult::kConnectFailed);
    return;
  }
  found->second.is_answer_begun = true;
  found->second.status = event.status;
  m_time_limits.OnAnswerBegun(event.work, found->second);
  if (event.load_sample)
    ApplyLoadSample(now, *event.load_sample);
  m_admission.OnAnswerBegun(now, event.work, event.status >= kFirstServerError);
  m_actions.Push(RelayWork{event.work, LoadAt(now)});
}

void OwnerSide::OnAnswerEnded(TimePoint now, WorkId id) {
  const auto found = m_works.find(id);
  // An answer that has not begun cannot be complete.
  if (found == m_works.end() || !found->second.is_answer_begun)
    return;
  const std::optional<OwnedWork> work = Take(id);
  RecordEnd(now, *work, "answered");
  const bool is_error = work->status >= kFirstServerError;
  m_life.OnRequestResult(
      now, is_error ? RequestResult::kError : RequestResult::kAnswered,
      work->head.workspace);
  m_quarantine.OnWorkEnded(work->admitted());
  Apply(now, m_admission.OnEnded(now, id, WorkEnd::kAnswered));
}

// Targets of the zone may have turned cold during the evacuation. A probe finds
// out before the first requests are started.
void OwnerSide::OnEvacuationsChanged(TimePoint now) {
  const bool has_returned = !m_is_admitting && ClosedReason() == Reason::kNone;
  SyncAdmission(now);
  if (has_returned && m_gate.current() && m_cold_starts.is_limited())
    m_health_checker.CheckSpeed(now, *m_gate.current());
}

void OwnerSide::Drain(TimePoint now) {
  m_is_leaving = true;
  SyncAdmission(now);
}

void OwnerSide::OnPaused(TimePoint now, Duration length) {
  m_admission.OnPaused(now, length);
  m_announcements.OnPaused(length);
}

void OwnerSide::EndOverdue(TimePoint now) {
  while (const std::optional<WorkId> id = m_time_limits.TakeOverdue(now)) {
    const std::optional<OwnedWork> work = TakeHandedOver(*id);
    if (!work)
      continue;
    RecordEnd(now, *work, TraitsOf(Reason::kDeadlineExceeded).token);
    m_quarantine.OnWorkEnded(work->admitted());
    m_actions.Push(FailWork{*id, Reason::kDeadlineExceeded, LoadAt(now)});
    Apply(now, m_admission.OnCancelled(now, *id));
  }
}

void OwnerSide::OnTimer(TimePoint now) {
  EndOverdue(now);
  CheckAnnouncements(now);
  if (m_life.NextWakeup() <= now)
    m_life.OnTimer(now);
  SyncAdmission(now);
  Apply(now, m_admission.OnTimer(now));
  CheckSpeedWhileHolding(now);
  VerifyWarmState(now);
}

TimePoint OwnerSide::NextWakeup() const {
  TimePoint next = std::min(m_life.NextWakeup(), NextSpeedCheck());
  next = std::min(next, m_time_limits.NextWakeup());
  if (const auto wakeup = m_admission.NextWakeup())
    next = std::min(next, *wakeup);
  if (m_life.state() != TargetState::kGone)
    next = std::min(next, m_announcements.NextCheck());
  return next;
}

Reason OwnerSide::ClosedReason() const {
  if (m_is_leaving || m_life.state() == TargetState::kDraining)
    return Reason::kDraining;
  if (!m_evacuations.is_known())
    return Reason::kConfigurationUnknown;
  if (m_evacuations.IsEvacuated(m_zone))
    return Reason::kEvacuated;
  return Reason::kNone;
}

Reason OwnerSide::ClosedReason(const WorkHead& head) const {
  if (const Reason reason = ClosedReason(); reason != Reason::kNone)
    return reason;
  if (!m_life.IsServing() || !m_announced ||
      m_announced->service != head.service)
    return Reason::kNoTarget;
  return Reason::kNone;
}

Reason OwnerSide::RefusalReason(TimePoint now, const WorkHead& head) {
  if (m_is_leaving || m_life.state() == TargetState::kDraining)
    return Reason::kDraining;
  // A node that has just started or was paused has not yet received the
  // quarantine records.
  if (!m_quarantine.IsCaughtUp())
    return Reason::kConfigurationUnknown;
  const Reason closed = ClosedReason(head);
  if (closed != Reason::kNone)
    return closed;
  if (head.time_left <= Duration::zero())
    return Reason::kDeadlineTooShort;
  return m_quarantine.AdmitWork(now, head.fingerprint, head.is_suspect);
}

void OwnerSide::Apply(TimePoint now, const AdmissionOutput& output) {
  for (const AdmissionRefusal& refusal : output.refuse) {
    // While the rate of the target delays starts, it is what a request would
    // have to wait for.
    const bool is_by_rate =
        refusal.reason == Reason::kOverloaded && !m_start_rate.MayStart(now);
    const Reason reason =
        is_by_rate ? Reason::kTargetRateLimit : refusal.reason;
    if (const std::optional<OwnedWork> work = Take(refusal.work)) {
      RecordEnd(now, *work, TraitsOf(reason).token);
      m_quarantine.OnWorkEnded(work->admitted());
    }
    Refuse(now, refusal.work, reason);
  }
  for (const WorkId id : output.start) {
    OwnedWork& work = m_works.at(id);
    work.is_handed_over = true;
    work.started_at = now;
    work.process = m_process;
    work.running_at_start = m_admission.load().in_flight;
    work.slowdown_at_start = m_speed.slowdown();
    work.slowdown_age = m_speed.AgeAt(now);
    m_actions.Push(HandToTarget{id, work.deadline - now, m_instance});
    m_time_limits.OnStarted(id, work);
  }
  VerifyWarmState(now);
}

void OwnerSide::Refuse(TimePoint now, WorkId work, Reason reason) {
  m_actions.Push(RefuseWork{work, reason, LoadAt(now)});
}

void OwnerSide::EndNotRun(TimePoint now,
                          WorkId id,
                          Reason reason,
                          RequestResult result) {
  const std::optional<OwnedWork> work = TakeHandedOver(id);
  if (!work)
    return;
  RecordEnd(now, *work, TraitsOf(reason).token);
  m_life.OnRequestResult(now, result, work->head.workspace);
  m_quarantine.OnWorkEnded(work->admitted());
  AdmissionOutput output = m_admission.OnEnded(now, id, WorkEnd::kNotRun);
  Refuse(now, id, reason);
  Apply(now, output);
  SyncAdmission(now);
}

std::optional<OwnedWork> OwnerSide::Take(WorkId id) {
  const auto found = m_works.find(id);
  if (found == m_works.end())
    return std::nullopt;
  OwnedWork work = std::move(found->second);
  m_works.erase(found);
  if (work.is_handed_over)
    m_time_limits.OnEnded(id, work);
  return work;
}

std::optional<OwnedWork> OwnerSide::TakeHandedOver(WorkId id) {
  const auto found = m_works.find(id);
  if (found == m_works.end() || !found->second.is_handed_over)
    return std::nullopt;
  return Take(id);
}

bool OwnerSide::IsAnyHandedOver() const {
  return std::any_of(m_works.begin(), m_works.end(), [](const auto& entry) {
    return entry.second.is_handed_over;
  });
}

}  // namespace bulrushmount::detail
