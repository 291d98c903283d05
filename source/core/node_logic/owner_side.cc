// Part of `owner_side.h`.

#include "core/node_logic/owner_side.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string_view>
#include <utility>

#include "core/admission/adaptive_limit.h"
#include "core/admission/knee_limit.h"
#include "core/common/hex.h"
#include "core/common/logging.h"

namespace bulrushmount::detail {

namespace {

constexpr int kFirstServerError = 500;

// For the log: to a hundredth.
double Milliseconds(Duration duration) {
  return std::round(ToMilliseconds(duration) * 100) / 100;
}

// Marks the probes of this object among those of the measuring budget.
constexpr std::uint64_t kOwnProbes = std::uint64_t{1} << 63;

bool IsOwnProbe(ProbeId probe) {
  return (probe.value() & kOwnProbes) != 0;
}

// A target on the same machine answers a probe in milliseconds; one that does
// not is left to its next heartbeat.
constexpr Duration kProbeTime = std::chrono::milliseconds(300);

// See NeedsFigures.
constexpr Duration kFreshFigures = std::chrono::milliseconds(25);

// At most 20 probes a second of a target that is disturbed while works wait; a
// disturbance ends half this later than it could be known, in the mean.
constexpr Duration kSpeedCheckPeriod = std::chrono::milliseconds(50);

// A health endpoint on the same machine answers in one to six milliseconds. A
// request waits no longer than this for it, and then goes by what is known.
constexpr Duration kFiguresPatience = std::chrono::milliseconds(20);

// A target that crashed refuses connections at once, and its successor reports
// within seconds.
constexpr Duration kCrashNoticedWithin = std::chrono::seconds(5);
constexpr std::size_t kMaxBroken = 256;

// Announcements closer together than this are one burst, not a period.
constexpr Duration kShortestAnnouncementPeriod = std::chrono::milliseconds(100);

// Load pattern: a service that all others call sheds or fails for some seconds,
// and every target of every caller answers with errors. Owners that judge by
// errors take all targets of all services out, and nothing is served, not even
// what does not need that service; it goes on after the fault, since each
// target is tried again only after seconds. Measured in a replay of such a
// fault of 8 s: 13 s without any answer with it, none without.
EvidenceThresholds OnlyRefusedConnections() {
  EvidenceThresholds thresholds;
  thresholds.sheds = std::numeric_limits<std::uint32_t>::max();
  thresholds.failed_fraction = std::numeric_limits<double>::infinity();
  thresholds.trial_results = std::numeric_limits<std::size_t>::max();
  return thresholds;
}

// A target that refuses connections is down; a try costs one connection on the
// same machine.
constexpr Duration kShortestDowntime = std::chrono::milliseconds(100);
constexpr Duration kLongestDowntime = std::chrono::milliseconds(500);

// Targets that tell their speed are believed in that; what is left to learn is
// how they take a crowd.
std::unique_ptr<ConcurrencyLimit> MakeLimit(const NodeSettings& settings) {
  if (settings.choosy_attempts > 0)
    return std::make_unique<KneeLimit>();
  return std::make_unique<AdaptiveLimit>(AdaptiveLimitSettings());
}

TargetLifeSettings LifeSettings(const NodeSettings& settings) {
  TargetLifeSettings life;
  life.warmup = settings.warmup;
  if (settings.do_entries_judge_errors) {
    life.thresholds = OnlyRefusedConnections();
    life.shortest_suspicion = kShortestDowntime;
    life.longest_suspicion = kLongestDowntime;
  }
  return life;
}

}  // namespace

OwnerSide::OwnerSide(const NodeSettings& settings,
                     const RouteTable& routes,
                     Quarantine& quarantine,
                     TrafficMetrics& metrics,
                     ActionSink& actions)
    : m_routes(routes),
      m_quarantine(quarantine),
      m_metrics(metrics),
      m_actions(actions),
      m_life(LifeSettings(settings)),
      m_admission(AdmissionSettings(), MakeLimit(settings)),
      m_needs_crash(settings.needs_crash_to_suspect) {}

AdmittedWork OwnerSide::AdmittedAs(const Work& work) {
  return {work.head.fingerprint, work.head.is_suspect};
}

// One line a request, with the id under which its entry logs it as well.
void OwnerSide::LogWork(TimePoint now,
                        const Work& work,
                        std::string_view result) const {
  LogLine line(LogLevel::kInfo, "work.ended");
  line.Add("request_id", work.head.request_id)
      .Add("entry", ToHex(work.head.entry))
      .Add("kind", work.head.kind)
      .Add("result", result)
      .Add("status", work.status)
      .Add("handed_over", work.is_handed_over);
  const TimePoint waited_until = work.is_handed_over ? work.started_at : now;
  line.Add("wait_ms", Milliseconds(waited_until - work.arrived_at));
  m_metrics.OnWork(result, waited_until - work.arrived_at);
  if (work.is_handed_over) {
    m_metrics.OnRun(now - work.started_at);
    line.Add("run_ms", Milliseconds(now - work.started_at))
        .Add("running_at_start", work.running_at_start)
        .Add("slowdown_at_start", work.slowdown_at_start)
        .Add("slowdown_age_ms", Milliseconds(work.slowdown_age));
  }
  const LoadReport now_load = load();
  line.Add("slowdown", m_speed.slowdown())
      .Add("told_ms_ago", Milliseconds(m_speed.AgeAt(now)))
      .Add("running", now_load.in_flight)
      .Add("queued", now_load.queued)
      .Add("limit", now_load.limit)
      .Add("left_ms", Milliseconds(work.deadline - now));
}

void OwnerSide::OnWorkArrived(TimePoint now, const WorkArrived& event) {
  // An id that is in use stands for the work that has it: admitted twice, it
  // would be handed over twice.
  if (m_works.contains(event.work))
    return;
  const Reason reason = ReasonToRefuse(now, event.head);
  Work work;
  work.head = event.head;
  work.arrived_at = now;
  work.deadline = now + event.head.time_left;
  if (reason != Reason::kNone) {
    LogWork(now, work, TraitsOf(reason).token);
    Refuse(event.work, reason);
    return;
  }
  const bool needs_figures = NeedsFigures(now, work);
  m_works.emplace(event.work, std::move(work));
  if (needs_figures)
    HoldForFigures(now, event.work);
  else
    Admit(now, event.work);
}

// A word that is older than this is not started by: of changes that come twice
// a second, one in forty falls into it. It bounds the probes of a target to
// forty a second, however many requests come.
bool OwnerSide::NeedsFigures(TimePoint now, const Work& work) const {
  return work.head.max_slowdown > 0 && m_speed.is_told() && m_gate.current() &&
         m_speed.AgeAt(now) > kFreshFigures;
}

void OwnerSide::HoldForFigures(TimePoint now, WorkId id) {
  m_held.push_back(id);
  if (m_speed_probe)
    return;
  m_speed_probe = SendOwnProbe(now, *m_gate.current(), kFiguresPatience);
  if (!m_speed_probe)
    ReleaseHeld(now);
}

void OwnerSide::ReleaseHeld(TimePoint now) {
  m_speed_probe.reset();
  for (const WorkId id : std::exchange(m_held, {})) {
    const auto found = m_works.find(id);
    // Cancelled meanwhile.
    if (found == m_works.end())
      continue;
    // The target may have left meanwhile.
    const Reason reason = WhyClosed(found->second.head);
    if (reason != Reason::kNone)
      RefuseAdmitted(now, id, reason);
    else
      Admit(now, id);
  }
}

void OwnerSide::Admit(TimePoint now, WorkId id) {
  const Work& work = m_works.at(id);
  const WorkHead& head = work.head;
  if (head.max_slowdown > 0 &&
      EstimateSlowdown(Conditions()) > head.max_slowdown) {
    RefuseAdmitted(now, id, Reason::kSlowTarget);
    return;
  }
  AdmissionRequest request;
  request.customer = head.customer;
  request.kind = head.kind;
  request.weight = head.weight;
  request.share = head.share;
  request.time_left = work.deadline - now;
  if (head.objective_left)
    request.objective_left = *head.objective_left - (now - work.arrived_at);
  request.is_suspect = head.is_suspect;
  request.is_last_attempt = head.is_last_attempt;
  Apply(now, m_admission.Arrive(now, id, request));
}

void OwnerSide::RefuseAdmitted(TimePoint now, WorkId id, Reason reason) {
  const std::optional<Work> work = Take(id);
  LogWork(now, *work, TraitsOf(reason).token);
  m_quarantine.OnWorkEnded(AdmittedAs(*work));
  Refuse(id, reason);
}

void OwnerSide::TakeFigures(TimePoint now, const TargetFigures& figures) {
  m_speed.OnFigures(now, figures);
  Apply(now, m_admission.SetSlowdown(now, figures.slowdown));
}

// While works wait for the target to be undisturbed, its answers are few and
// tell late: so it is asked.
void OwnerSide::AskSpeedWhileHolding(TimePoint now) {
  if (m_speed_probe || now < NextSpeedCheck())
    return;
  m_speed_probe = SendOwnProbe(now, *m_gate.current(), kFiguresPatience);
}

TimePoint OwnerSide::NextSpeedCheck() const {
  const bool is_waiting = m_admission.is_holding() && m_gate.current() &&
                          m_speed.is_told() && !m_speed_probe;
  return is_waiting ? m_speed.told_at() + kSpeedCheckPeriod : TimePoint::max();
}

StartConditions OwnerSide::Conditions() const {
  const LoadReport now_load = m_admission.load();
  return {.in_flight = now_load.in_flight,
          .queued = now_load.queued,
          .limit = now_load.limit,
          .told_slowdown = m_speed.slowdown(),
          .is_told = m_speed.is_told(),
          .is_cold = m_life.state() == TargetState::kWarming};
}

LoadReport OwnerSide::load() const {
  LoadReport report = m_admission.load();
  report.slowdown = EstimateSlowdown(Conditions());
  return report;
}

void OwnerSide::OnWorkCancelled(TimePoint now, WorkId id) {
  const std::optional<Work> work = Take(id);
  if (!work)
    return;
  LogWork(now, *work, "cancelled");
  if (work->is_handed_over)
    m_actions.Push(CancelWork{id});
  m_quarantine.OnWorkEnded(AdmittedAs(*work));
  Apply(now, m_admission.OnCancelled(now, id));
}

void OwnerSide::OnConnectFailed(TimePoint now, WorkId work) {
  AccuseBroken(now);
  EndNotRun(now, work, Reason::kConnectFailed, RealResult::kConnectFailed);
}

void OwnerSide::OnAnswerBegun(TimePoint now, const TargetAnswerBegun& event) {
  const auto found = m_works.find(event.work);
  if (found == m_works.end() || !found->second.is_handed_over)
    return;
  if (event.is_shed) {
    EndNotRun(now, event.work, Reason::kShed, RealResult::kShed);
    return;
  }
  if (event.is_wrong_target) {
    EndNotRun(now, event.work, Reason::kWrongTarget,
              RealResult::kConnectFailed);
    return;
  }
  found->second.is_answer_begun = true;
  found->second.status = event.status;
  if (event.figures)
    TakeFigures(now, *event.figures);
  m_admission.OnAnswerBegun(now, event.work, event.status >= kFirstServerError);
  m_actions.Push(RelayWork{event.work, load()});
}

void OwnerSide::OnAnswerEnded(TimePoint now, WorkId id) {
  const auto found = m_works.find(id);
  // Nothing of an answer that has not begun is with the entry.
  if (found == m_works.end() || !found->second.is_answer_begun)
    return;
  const std::optional<Work> work = Take(id);
  LogWork(now, *work, "answered");
  const bool is_error = work->status >= kFirstServerError;
  m_life.OnReal(now, is_error ? RealResult::kError : RealResult::kAnswered,
                work->head.customer);
  m_quarantine.OnWorkEnded(AdmittedAs(*work));
  Apply(now, m_admission.OnEnded(now, id, WorkEnd::kAnswered));
}

void OwnerSide::OnExchangeFailed(TimePoint now,
                                 const TargetExchangeFailed& event) {
  const std::optional<Work> work = TakeHandedOver(event.work);
  if (!work)
    return;
  LogWork(now, *work, TraitsOf(Reason::kTargetLost).token);
  m_life.OnReal(now, RealResult::kBrokenOff, work->head.customer);
  NoteBroken(now, *work);
  m_actions.Push(FailWork{event.work, Reason::kTargetLost, load()});
  AdmissionOutput output =
      m_admission.OnEnded(now, event.work, WorkEnd::kFailed);
  // Where one lost answer is no sign of a crash, refused connections are.
  if (!m_needs_crash && !IsAnyHandedOver())
    NoteCrash(now);
  Apply(now, output);
}

void OwnerSide::OnAnnounced(TimePoint now, const TargetAnnounced& event) {
  if (m_announced && m_announced->incarnation == event.incarnation) {
    const Duration since = now - m_last_announcement;
    if (since >= kShortestAnnouncementPeriod)
      m_announcement_period = since;
  } else {
    m_announcement_period.reset();
  }
  m_last_announcement = now;
  m_life.OnAnnounced(
      now, TargetAnnouncement{event.service, event.slots, event.incarnation,
                              event.cold_time_left});
  const bool is_changed = !m_announced || m_announced->slots != event.slots ||
                          m_announced->connections != event.connections ||
                          m_announced->incarnation != event.incarnation;
  m_announced = event;
  m_endpoint = event.endpoint;
  if (is_changed)
    m_is_admitting = false;
  SyncAdmission(now);
}

void OwnerSide::OnWithdrawn(TimePoint now) {
  m_life.OnWithdrawn(now);
  SyncAdmission(now);
}

void OwnerSide::OnProbe(TimePoint now, bool is_healthy) {
  m_life.OnProbe(now, is_healthy);
  SyncAdmission(now);
}

void OwnerSide::OnHeartbeat(TimePoint now, const TargetHeartbeat& heartbeat) {
  Obey(now, m_gate.OnHeartbeat(now, heartbeat));
}

void OwnerSide::OnDeparted(TimePoint now, const InstanceId& instance) {
  LogLine(LogLevel::kInfo, "target.departed").Add("instance", instance);
  Obey(now, m_gate.OnDeparted(instance));
}

bool OwnerSide::OnOwnProbe(TimePoint now, const ProbeAnswered& event) {
  if (!IsOwnProbe(event.probe))
    return false;
  if (event.figures)
    TakeFigures(now, *event.figures);
  if (event.probe == m_speed_probe) {
    ReleaseHeld(now);
    return true;
  }
  LogLine(LogLevel::kInfo, "target.probed")
      .Add("instance", event.instance)
      .Add("healthy", event.is_healthy);
  Obey(now, m_gate.OnProbe(event.instance, event.is_healthy));
  return true;
}

bool OwnerSide::OnOwnProbe(TimePoint now, const ProbeFailed& event) {
  if (!IsOwnProbe(event.probe))
    return false;
  if (event.probe == m_speed_probe) {
    ReleaseHeld(now);
    return true;
  }
  const LogLine line(LogLevel::kInfo, "target.probe_failed");
  Obey(now, m_gate.OnProbeFailed());
  return true;
}

void OwnerSide::OnRoutesChanged(TimePoint now) {
  if (m_gate.candidate())
    ProbeCandidate(now);
}

void OwnerSide::Obey(TimePoint now, GateVerdict verdict) {
  switch (verdict) {
    case GateVerdict::kNone:
      return;
    case GateVerdict::kProbe:
      ProbeCandidate(now);
      return;
    case GateVerdict::kOpen:
      OpenGate(now);
      return;
    case GateVerdict::kClose:
      LogLine(LogLevel::kInfo, "target.gate_closed")
          .Add("instance", m_instance);
      OnWithdrawn(now);
      return;
  }
}

void OwnerSide::OpenGate(TimePoint now) {
  const TargetHeartbeat& heartbeat = *m_gate.current();
  if (heartbeat.instance != m_instance) {
    // The one before it is gone: what broke off at it may have been its end.
    AccuseBroken(now);
    m_instance = heartbeat.instance;
    ++m_ordinal;
    LogLine(LogLevel::kInfo, "target.gate_opened")
        .Add("instance", m_instance)
        .Add("service", heartbeat.service)
        .Add("slots", heartbeat.slots)
        .Add("cold_ms", ToMilliseconds(heartbeat.cold_time_left));
  }
  if (m_endpoint != heartbeat.endpoint)
    m_actions.Push(UseTarget{heartbeat.endpoint});
  const ServiceProfile* const profile = m_routes.FindService(heartbeat.service);
  TargetAnnounced announced;
  announced.service = heartbeat.service;
  announced.endpoint = heartbeat.endpoint;
  announced.slots = heartbeat.slots;
  announced.connections = profile ? profile->max_connections : heartbeat.slots;
  announced.incarnation = Incarnation(m_ordinal);
  announced.cold_time_left = heartbeat.cold_time_left;
  OnAnnounced(now, announced);
}

// Symptom without a path: the probe would ask for a page that the target does
// not have, and a sound target would look unhealthy until its next heartbeat.
void OwnerSide::ProbeCandidate(TimePoint now) {
  SendOwnProbe(now, *m_gate.candidate(), kProbeTime);
}

std::optional<ProbeId> OwnerSide::SendOwnProbe(TimePoint now,
                                               const TargetHeartbeat& target,
                                               Duration patience) {
  const ServiceProfile* const profile = m_routes.FindService(target.service);
  if (!profile)
    return std::nullopt;
  SendProbe probe;
  probe.probe = ProbeId(kOwnProbes | ++m_last_probe);
  probe.endpoint = target.endpoint;
  probe.path = profile->health_path;
  probe.valid_until = now + patience;
  probe.gives_up_at = now + patience;
  const ProbeId id = probe.probe;
  m_actions.Push(std::move(probe));
  return id;
}

// Without the wait for a crash, each request that breaks off is suspect at
// once: what its entry and others do in the meantime could take down the next
// target. One that is innocent is cleared when it finishes alone.
void OwnerSide::NoteBroken(TimePoint now, const Work& work) {
  const AdmittedWork broken = AdmittedAs(work);
  if (!m_needs_crash) {
    m_quarantine.OnTargetCrashed(now, {broken});
    return;
  }
  m_quarantine.OnWorkEnded(broken);
  std::erase_if(m_broken, [now](const BrokenWork& old) {
    return now - old.at > kCrashNoticedWithin;
  });
  if (m_broken.size() >= kMaxBroken)
    m_broken.pop_front();
  m_broken.push_back({now, broken});
}

void OwnerSide::AccuseBroken(TimePoint now) {
  std::vector<AdmittedWork> accused;
  for (const BrokenWork& broken : m_broken) {
    if (now - broken.at <= kCrashNoticedWithin)
      accused.push_back(broken.work);
  }
  m_broken.clear();
  if (accused.empty())
    return;
  LogLine(LogLevel::kWarning, "target.crash_suspects")
      .Add("requests", accused.size());
  m_quarantine.AccuseEnded(now, accused);
}

void OwnerSide::Drain(TimePoint now) {
  m_is_leaving = true;
  SyncAdmission(now);
}

void OwnerSide::OnTimer(TimePoint now) {
  CheckAnnouncements(now);
  if (m_life.NextWakeup() <= now)
    m_life.OnTimer(now);
  SyncAdmission(now);
  Apply(now, m_admission.OnTimer(now));
  AskSpeedWhileHolding(now);
}

TimePoint OwnerSide::NextWakeup() const {
  TimePoint next = std::min(m_life.NextWakeup(), NextSpeedCheck());
  if (const auto wakeup = m_admission.NextWakeup())
    next = std::min(next, *wakeup);
  if (m_announcement_period && m_life.state() != TargetState::kGone)
    next = std::min(next, m_last_announcement + 2 * *m_announcement_period);
  return next;
}

Reason OwnerSide::WhyClosed(const WorkHead& head) const {
  if (m_is_leaving || m_life.state() == TargetState::kDraining)
    return Reason::kDraining;
  if (!m_life.IsServing() || !m_announced ||
      m_announced->service != head.service)
    return Reason::kNoTarget;
  return Reason::kNone;
}

Reason OwnerSide::ReasonToRefuse(TimePoint now, const WorkHead& head) {
  if (m_is_leaving || m_life.state() == TargetState::kDraining)
    return Reason::kDraining;
  // What crashes targets is not known yet to a node that is new or was stopped.
  if (!m_quarantine.IsCaughtUp())
    return Reason::kConfigurationUnknown;
  const Reason closed = WhyClosed(head);
  if (closed != Reason::kNone)
    return closed;
  if (head.time_left <= Duration::zero())
    return Reason::kDeadlineTooShort;
  return m_quarantine.AdmitWork(now, head.fingerprint, head.is_suspect);
}

void OwnerSide::Apply(TimePoint now, const AdmissionOutput& output) {
  for (const AdmissionRefusal& refusal : output.refuse) {
    if (const std::optional<Work> work = Take(refusal.work)) {
      LogWork(now, *work, TraitsOf(refusal.reason).token);
      m_quarantine.OnWorkEnded(AdmittedAs(*work));
    }
    Refuse(refusal.work, refusal.reason);
  }
  for (const WorkId id : output.start) {
    Work& work = m_works.at(id);
    work.is_handed_over = true;
    work.started_at = now;
    work.running_at_start = load().in_flight;
    work.slowdown_at_start = m_speed.slowdown();
    work.slowdown_age = m_speed.AgeAt(now);
    m_actions.Push(HandToTarget{id, work.deadline - now, m_instance});
  }
}

void OwnerSide::Refuse(WorkId work, Reason reason) {
  m_actions.Push(RefuseWork{work, reason, load()});
}

void OwnerSide::EndNotRun(TimePoint now,
                          WorkId id,
                          Reason reason,
                          RealResult result) {
  const std::optional<Work> work = TakeHandedOver(id);
  if (!work)
    return;
  LogWork(now, *work, TraitsOf(reason).token);
  m_life.OnReal(now, result, work->head.customer);
  m_quarantine.OnWorkEnded(AdmittedAs(*work));
  AdmissionOutput output = m_admission.OnEnded(now, id, WorkEnd::kNotRun);
  Refuse(id, reason);
  Apply(now, output);
  SyncAdmission(now);
}

std::optional<OwnerSide::Work> OwnerSide::Take(WorkId id) {
  const auto found = m_works.find(id);
  if (found == m_works.end())
    return std::nullopt;
  Work work = std::move(found->second);
  m_works.erase(found);
  return work;
}

std::optional<OwnerSide::Work> OwnerSide::TakeHandedOver(WorkId id) {
  const auto found = m_works.find(id);
  if (found == m_works.end() || !found->second.is_handed_over)
    return std::nullopt;
  return Take(id);
}

// The last exchange with the target has broken off, and none has ended well
// since: the target is taken for crashed until it says otherwise.
void OwnerSide::NoteCrash(TimePoint now) {
  m_life.OnCrashed(now);
  LogLine(LogLevel::kWarning, "target.crashed")
      .Add("state", ToToken(m_life.state()));
  SyncAdmission(now);
}

bool OwnerSide::IsAnyHandedOver() const {
  return std::any_of(m_works.begin(), m_works.end(), [](const auto& entry) {
    return entry.second.is_handed_over;
  });
}

void OwnerSide::CheckAnnouncements(TimePoint now) {
  if (!m_announcement_period || m_life.state() == TargetState::kGone)
    return;
  while (now >= m_last_announcement + 2 * *m_announcement_period) {
    m_life.OnAnnouncementMissed(now);
    m_last_announcement += *m_announcement_period;
    if (m_life.state() == TargetState::kGone)
      return;
  }
}

void OwnerSide::SyncAdmission(TimePoint now) {
  const bool should_admit = !m_is_leaving && m_announced && m_life.IsServing();
  if (should_admit == m_is_admitting)
    return;
  m_is_admitting = should_admit;
  if (should_admit) {
    Apply(now, m_admission.SetTarget(now, m_announced->slots,
                                     m_announced->connections));
  } else {
    Apply(now, m_admission.Drain(now));
  }
}

}  // namespace bulrushmount::detail
