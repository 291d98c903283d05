// Part of `target_lifecycle.h`: evaluates the evidence and drives the state
// machine.

#include "core/target_state/target_lifecycle.h"

#include <algorithm>

#include "core/common/logging.h"
#include "core/target_state/target_lifecycle_machine.h"

namespace bulrushmount {

using detail::TargetLifecycleEvent;
using detail::TargetLifecycleMachine;

namespace {

// Minimum duration of a cold start, which must be positive; short enough to be
// over before any answer.
constexpr Duration kMinColdStart = std::chrono::milliseconds(1);

}  // namespace

std::string_view ToToken(TargetState state) {
  switch (state) {
    case TargetState::kGone:
      return "gone";
    case TargetState::kAnnounced:
      return "announced";
    case TargetState::kWarming:
      return "warming";
    case TargetState::kServing:
      return "serving";
    case TargetState::kSuspect:
      return "suspect";
    case TargetState::kDraining:
      return "draining";
  }
  return "unknown";
}

struct TargetLifecycle::Impl {
  explicit Impl(const TargetLifecycleSettings& lifecycle_settings)
      : settings(lifecycle_settings),
        evidence(lifecycle_settings.thresholds),
        cold_start(TimePoint(),
                   lifecycle_settings.warmup,
                   lifecycle_settings.warm_answers),
        suspicion_duration(lifecycle_settings.shortest_suspicion) {}

  void HandleEvent(TargetLifecycleEvent event, std::string_view cause);
  ColdStart NewColdStart(TimePoint now) const;
  void StartLifecycle(TimePoint now, const TargetAnnouncement& next);
  void Suspect(TimePoint now, bool by_requests, std::string_view cause);
  void Retry(TimePoint now);
  void EndColdStart(TimePoint now);
  bool AcceptsRequests() const;
  TimePoint RetryAt() const;
  TimePoint NeedChangesAt() const;

  TargetLifecycleSettings settings;
  TargetLifecycleMachine machine;
  TargetEvidence evidence;
  TimePoint last_call;
  ColdStart cold_start;
  // The target's last announcement; empty before the first one.
  std::optional<TargetAnnouncement> announcement;
  std::uint32_t announcements_missed = 0;

  // Duration of the current or the next suspicion.
  Duration suspicion_duration;
  TimePoint suspected_at;
  // Requests failed, so no probe ends the suspicion before its time.
  bool is_suspected_by_requests = false;
  bool is_probe_healthy_since = false;
};

void TargetLifecycle::Impl::HandleEvent(TargetLifecycleEvent event,
                                        std::string_view cause) {
  const TargetState before = machine.state();
  machine.Handle(event);
  if (machine.state() == before) {
    return;
  }
  LogLine(LogLevel::kInfo, "target.state")
      .Add("from", ToToken(before))
      .Add("to", ToToken(machine.state()))
      .Add("cause", cause);
}

// A target that announces how long it stays cold is warm after that time,
// regardless of its answers.
ColdStart TargetLifecycle::Impl::NewColdStart(TimePoint now) const {
  if (!announcement || !announcement->cold_time_left)
    return ColdStart(now, settings.warmup, settings.warm_answers);
  return ColdStart(now, std::max(*announcement->cold_time_left, kMinColdStart),
                   0);
}

void TargetLifecycle::Impl::StartLifecycle(TimePoint now,
                                           const TargetAnnouncement& next) {
  announcement = next;
  announcements_missed = 0;
  evidence = TargetEvidence(settings.thresholds);
  cold_start = NewColdStart(now);
  suspicion_duration = settings.shortest_suspicion;
  HandleEvent(TargetLifecycleEvent::kAnnounced, "announced");
}

void TargetLifecycle::Impl::Suspect(TimePoint now,
                                    bool by_requests,
                                    std::string_view cause) {
  if (machine.state() == TargetState::kSuspect) {
    is_suspected_by_requests = is_suspected_by_requests || by_requests;
    return;
  }
  if (!AcceptsRequests()) {
    return;
  }
  is_suspected_by_requests = by_requests;
  is_probe_healthy_since = false;
  suspected_at = now;
  HandleEvent(TargetLifecycleEvent::kSuspected, cause);
}

// After failed requests the target goes through its cold start again, so that
// it gets few requests until some are answered.
void TargetLifecycle::Impl::Retry(TimePoint now) {
  const Duration longest = evidence.IsFromOneWorkspace(now)
                               ? settings.longest_suspicion_by_one_workspace
                               : settings.longest_suspicion;
  suspicion_duration = std::min(2 * suspicion_duration, longest);
  evidence.Clear();
  if (is_suspected_by_requests) {
    evidence.BeginTrial();
    cold_start = NewColdStart(now);
  }
  HandleEvent(TargetLifecycleEvent::kAnswered, "tried_again");
}

void TargetLifecycle::Impl::EndColdStart(TimePoint now) {
  if (machine.state() != TargetState::kWarming || !cold_start.IsOver(now)) {
    return;
  }
  if (evidence.HasRecentAnswer(now)) {
    suspicion_duration = settings.shortest_suspicion;
  }
  HandleEvent(TargetLifecycleEvent::kColdStartOver, "warm");
}

bool TargetLifecycle::Impl::AcceptsRequests() const {
  const TargetState state = machine.state();
  return state == TargetState::kAnnounced || state == TargetState::kWarming ||
         state == TargetState::kServing;
}

// A healthy probe immediately ends a suspicion that is based on probes, and one
// that is based on requests once its time is over. Without a healthy probe the
// suspicion ends after twice its time, since the measuring budget may be used
// up or the health endpoint may be wrong.
TimePoint TargetLifecycle::Impl::RetryAt() const {
  if (is_probe_healthy_since) {
    return is_suspected_by_requests ? suspected_at + suspicion_duration
                                    : suspected_at;
  }
  return suspected_at + 2 * suspicion_duration;
}

// Time at which there is no recent answer any more and probes are needed.
TimePoint TargetLifecycle::Impl::NeedChangesAt() const {
  const std::optional<TimePoint> until = evidence.RecentAnswerUntil();
  return until && *until > last_call ? *until : TimePoint::max();
}

TargetLifecycle::TargetLifecycle(const TargetLifecycleSettings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}

TargetLifecycle::~TargetLifecycle() = default;

void TargetLifecycle::OnAnnounced(TimePoint now,
                                  const TargetAnnouncement& announcement) {
  const auto& known = m_impl->announcement;
  if (!known || announcement.incarnation > known->incarnation) {
    m_impl->StartLifecycle(now, announcement);
    return;
  }
  if (announcement.incarnation < known->incarnation) {
    return;
  }
  if (m_impl->machine.state() == TargetState::kGone) {
    // A target that was gone because of missed announcements returns; a
    // withdrawn one does not.
    if (m_impl->announcements_missed > 0) {
      m_impl->StartLifecycle(now, announcement);
    }
    return;
  }
  m_impl->announcements_missed = 0;
  m_impl->announcement = announcement;
}

void TargetLifecycle::OnAnnouncementMissed(TimePoint now) {
  if (state() == TargetState::kGone || state() == TargetState::kDraining) {
    return;
  }
  ++m_impl->announcements_missed;
  if (m_impl->evidence.HasRecentAnswer(now)) {
    return;
  }
  if (m_impl->announcements_missed >= m_impl->settings.announcements_missed) {
    m_impl->HandleEvent(TargetLifecycleEvent::kGone, "announcements_missed");
    return;
  }
  m_impl->Suspect(now, false, "announcement_missed");
}

void TargetLifecycle::OnWithdrawn(TimePoint now) {
  m_impl->announcements_missed = 0;
  m_impl->HandleEvent(TargetLifecycleEvent::kWithdrawn, "withdrawn");
}

void TargetLifecycle::OnDrained(TimePoint now) {
  if (state() == TargetState::kDraining) {
    m_impl->HandleEvent(TargetLifecycleEvent::kGone, "drained");
  }
}

void TargetLifecycle::OnCrashed(TimePoint now) {
  m_impl->Suspect(now, true, "crashed");
}

void TargetLifecycle::OnRequestResult(TimePoint now,
                                      RequestResult result,
                                      const WorkspaceName& workspace) {
  m_impl->last_call = now;
  const bool is_answered = result == RequestResult::kAnswered;
  if (is_answered && state() == TargetState::kSuspect &&
      !m_impl->is_suspected_by_requests) {
    m_impl->Retry(now);
  }
  m_impl->evidence.OnRequestResult(now, result, workspace);
  if (is_answered) {
    m_impl->cold_start.OnAnswered();
    if (state() == TargetState::kAnnounced) {
      m_impl->HandleEvent(TargetLifecycleEvent::kAnswered, "answered");
    }
    m_impl->EndColdStart(now);
    return;
  }
  if (m_impl->evidence.IsFailingRequests(now)) {
    m_impl->Suspect(now, true, "real_requests_fail");
  }
}

void TargetLifecycle::OnProbe(TimePoint now, bool is_healthy) {
  m_impl->evidence.OnProbe(is_healthy);
  if (state() == TargetState::kSuspect) {
    m_impl->is_probe_healthy_since = is_healthy;
    OnTimer(now);
    return;
  }
  if (is_healthy && state() == TargetState::kAnnounced) {
    m_impl->HandleEvent(TargetLifecycleEvent::kAnswered, "probe_healthy");
  }
  if (m_impl->evidence.IsFailingProbes(now)) {
    m_impl->Suspect(now, false, "probes_fail");
  }
}

void TargetLifecycle::OnTimer(TimePoint now) {
  m_impl->last_call = now;
  if (state() == TargetState::kSuspect && now >= m_impl->RetryAt()) {
    m_impl->Retry(now);
  }
  if (state() == TargetState::kAnnounced && m_impl->cold_start.IsOver(now)) {
    m_impl->HandleEvent(TargetLifecycleEvent::kAnswered, "no_evidence");
  }
  m_impl->EndColdStart(now);
}

TimePoint TargetLifecycle::NextWakeup() const {
  switch (state()) {
    case TargetState::kSuspect:
      return m_impl->RetryAt();
    case TargetState::kAnnounced:
    case TargetState::kWarming:
      return std::min(m_impl->cold_start.EndsAt(), m_impl->NeedChangesAt());
    case TargetState::kServing:
      return m_impl->NeedChangesAt();
    case TargetState::kGone:
    case TargetState::kDraining:
      break;
  }
  return TimePoint::max();
}

TargetState TargetLifecycle::state() const {
  return m_impl->machine.state();
}

bool TargetLifecycle::IsServing() const {
  return m_impl->AcceptsRequests();
}

double TargetLifecycle::RampFactor(TimePoint now) const {
  switch (state()) {
    case TargetState::kAnnounced:
      return ColdStart::kMinFactor;
    case TargetState::kWarming:
      return m_impl->cold_start.Factor(now);
    case TargetState::kServing:
      return 1.0;
    case TargetState::kGone:
    case TargetState::kSuspect:
    case TargetState::kDraining:
      break;
  }
  return 0.0;
}

ProbeNeed TargetLifecycle::Need(TimePoint now) const {
  switch (state()) {
    case TargetState::kSuspect:
      return ProbeNeed::kSuspect;
    case TargetState::kAnnounced:
      return ProbeNeed::kWarming;
    case TargetState::kWarming:
      return m_impl->evidence.HasRecentAnswer(now) ? ProbeNeed::kNone
                                                   : ProbeNeed::kWarming;
    case TargetState::kServing:
      return m_impl->evidence.HasRecentAnswer(now) ? ProbeNeed::kNone
                                                   : ProbeNeed::kIdle;
    case TargetState::kGone:
    case TargetState::kDraining:
      break;
  }
  return ProbeNeed::kNone;
}

std::optional<TargetSummary> TargetLifecycle::Summary() const {
  if (state() == TargetState::kGone) {
    return std::nullopt;
  }
  return TargetSummary{
      .service = m_impl->announcement->service,
      .incarnation = m_impl->announcement->incarnation,
      .slots = m_impl->announcement->slots,
      .is_serving = IsServing(),
      .is_warming = state() == TargetState::kAnnounced ||
                    state() == TargetState::kWarming,
  };
}

}  // namespace bulrushmount
