// Weighs the evidence and drives the machine.

#include "core/target_state/target_life.h"

#include <algorithm>

#include "core/common/logging.h"
#include "core/target_state/target_life_machine.h"

namespace bulrushmount {

using detail::TargetLifeEvent;
using detail::TargetLifeMachine;

namespace {

// A cold start must last some time; this one is over before any answer.
constexpr Duration kShortestColdStart = std::chrono::milliseconds(1);

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

struct TargetLife::Impl {
  explicit Impl(const TargetLifeSettings& life_settings)
      : settings(life_settings),
        evidence(life_settings.thresholds),
        cold_start(TimePoint(),
                   life_settings.warmup,
                   life_settings.warm_answers),
        suspicion(life_settings.shortest_suspicion) {}

  void Apply(TargetLifeEvent event, std::string_view cause);
  ColdStart ColdStartOf(TimePoint now) const;
  void Begin(TimePoint now, const TargetAnnouncement& next);
  void Suspect(TimePoint now, bool by_real, std::string_view cause);
  void TryAgain(TimePoint now);
  void EndColdStart(TimePoint now);
  bool TakesWork() const;
  TimePoint TrialAt() const;
  TimePoint NeedChangesAt() const;

  TargetLifeSettings settings;
  TargetLifeMachine machine;
  TargetEvidence evidence;
  TimePoint last_call;
  ColdStart cold_start;
  // The target's last words; set unless it never came.
  std::optional<TargetAnnouncement> announcement;
  std::uint32_t announcements_missed = 0;

  // Of the suspicion that holds, or the next one.
  Duration suspicion;
  TimePoint suspected_at;
  // Real requests failed, so no probe ends the suspicion before its time.
  bool is_suspected_by_real = false;
  bool is_probe_healthy_since = false;
};

void TargetLife::Impl::Apply(TargetLifeEvent event, std::string_view cause) {
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

// A target that says how long it stays cold is warm after that time, whatever
// work it gets.
ColdStart TargetLife::Impl::ColdStartOf(TimePoint now) const {
  if (!announcement || !announcement->cold_time_left)
    return ColdStart(now, settings.warmup, settings.warm_answers);
  return ColdStart(
      now, std::max(*announcement->cold_time_left, kShortestColdStart), 0);
}

void TargetLife::Impl::Begin(TimePoint now, const TargetAnnouncement& next) {
  announcement = next;
  announcements_missed = 0;
  evidence = TargetEvidence(settings.thresholds);
  cold_start = ColdStartOf(now);
  suspicion = settings.shortest_suspicion;
  Apply(TargetLifeEvent::kAnnounced, "announced");
}

void TargetLife::Impl::Suspect(TimePoint now,
                               bool by_real,
                               std::string_view cause) {
  if (machine.state() == TargetState::kSuspect) {
    is_suspected_by_real = is_suspected_by_real || by_real;
    return;
  }
  if (!TakesWork()) {
    return;
  }
  is_suspected_by_real = by_real;
  is_probe_healthy_since = false;
  suspected_at = now;
  Apply(TargetLifeEvent::kSuspected, cause);
}

// After real failures the target goes through its cold start again, so little
// work goes to it until real answers have come.
void TargetLife::Impl::TryAgain(TimePoint now) {
  const Duration longest = evidence.IsOfOneWorkspace(now)
                               ? settings.longest_suspicion_by_one
                               : settings.longest_suspicion;
  suspicion = std::min(2 * suspicion, longest);
  evidence.Clear();
  if (is_suspected_by_real) {
    evidence.BeginTrial();
    cold_start = ColdStartOf(now);
  }
  Apply(TargetLifeEvent::kAnswers, "tried_again");
}

void TargetLife::Impl::EndColdStart(TimePoint now) {
  if (machine.state() != TargetState::kWarming || !cold_start.IsOver(now)) {
    return;
  }
  if (evidence.IsObserved(now)) {
    suspicion = settings.shortest_suspicion;
  }
  Apply(TargetLifeEvent::kColdStartOver, "warm");
}

bool TargetLife::Impl::TakesWork() const {
  const TargetState state = machine.state();
  return state == TargetState::kAnnounced || state == TargetState::kWarming ||
         state == TargetState::kServing;
}

// A healthy probe ends a suspicion of probes at once and one of real failures
// when its time is over. Without a probe, since the measuring budget may be
// spent or the endpoint may lie, it ends after twice its time all the same.
TimePoint TargetLife::Impl::TrialAt() const {
  if (is_probe_healthy_since) {
    return is_suspected_by_real ? suspected_at + suspicion : suspected_at;
  }
  return suspected_at + 2 * suspicion;
}

// When real answers cease to speak for it and probes are needed.
TimePoint TargetLife::Impl::NeedChangesAt() const {
  const std::optional<TimePoint> until = evidence.ObservedUntil();
  return until && *until > last_call ? *until : TimePoint::max();
}

TargetLife::TargetLife(const TargetLifeSettings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}

TargetLife::~TargetLife() = default;

void TargetLife::OnAnnounced(TimePoint now,
                             const TargetAnnouncement& announcement) {
  const auto& known = m_impl->announcement;
  if (!known || announcement.incarnation > known->incarnation) {
    m_impl->Begin(now, announcement);
    return;
  }
  if (announcement.incarnation < known->incarnation) {
    return;
  }
  if (m_impl->machine.state() == TargetState::kGone) {
    // Gone for want of announcements, and back; a withdrawn one stays gone.
    if (m_impl->announcements_missed > 0) {
      m_impl->Begin(now, announcement);
    }
    return;
  }
  m_impl->announcements_missed = 0;
  m_impl->announcement = announcement;
}

void TargetLife::OnAnnouncementMissed(TimePoint now) {
  if (state() == TargetState::kGone || state() == TargetState::kDraining) {
    return;
  }
  ++m_impl->announcements_missed;
  if (m_impl->evidence.IsObserved(now)) {
    return;
  }
  if (m_impl->announcements_missed >= m_impl->settings.announcements_missed) {
    m_impl->Apply(TargetLifeEvent::kGone, "announcements_missed");
    return;
  }
  m_impl->Suspect(now, false, "announcement_missed");
}

void TargetLife::OnWithdrawn(TimePoint now) {
  m_impl->announcements_missed = 0;
  m_impl->Apply(TargetLifeEvent::kWithdrawn, "withdrawn");
}

void TargetLife::OnDrained(TimePoint now) {
  if (state() == TargetState::kDraining) {
    m_impl->Apply(TargetLifeEvent::kGone, "drained");
  }
}

void TargetLife::OnCrashed(TimePoint now) {
  m_impl->Suspect(now, true, "crashed");
}

void TargetLife::OnReal(TimePoint now,
                        RealResult result,
                        const WorkspaceName& workspace) {
  m_impl->last_call = now;
  const bool is_answered = result == RealResult::kAnswered;
  if (is_answered && state() == TargetState::kSuspect &&
      !m_impl->is_suspected_by_real) {
    m_impl->TryAgain(now);
  }
  m_impl->evidence.OnReal(now, result, workspace);
  if (is_answered) {
    m_impl->cold_start.OnAnswered();
    if (state() == TargetState::kAnnounced) {
      m_impl->Apply(TargetLifeEvent::kAnswers, "answered");
    }
    m_impl->EndColdStart(now);
    return;
  }
  if (m_impl->evidence.IsFailingReal(now)) {
    m_impl->Suspect(now, true, "real_requests_fail");
  }
}

void TargetLife::OnProbe(TimePoint now, bool is_healthy) {
  m_impl->evidence.OnProbe(is_healthy);
  if (state() == TargetState::kSuspect) {
    m_impl->is_probe_healthy_since = is_healthy;
    OnTimer(now);
    return;
  }
  if (is_healthy && state() == TargetState::kAnnounced) {
    m_impl->Apply(TargetLifeEvent::kAnswers, "probe_healthy");
  }
  if (m_impl->evidence.IsFailingProbes(now)) {
    m_impl->Suspect(now, false, "probes_fail");
  }
}

void TargetLife::OnTimer(TimePoint now) {
  m_impl->last_call = now;
  if (state() == TargetState::kSuspect && now >= m_impl->TrialAt()) {
    m_impl->TryAgain(now);
  }
  if (state() == TargetState::kAnnounced && m_impl->cold_start.IsOver(now)) {
    m_impl->Apply(TargetLifeEvent::kAnswers, "no_evidence");
  }
  m_impl->EndColdStart(now);
}

TimePoint TargetLife::NextWakeup() const {
  switch (state()) {
    case TargetState::kSuspect:
      return m_impl->TrialAt();
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

TargetState TargetLife::state() const {
  return m_impl->machine.state();
}

bool TargetLife::IsServing() const {
  return m_impl->TakesWork();
}

double TargetLife::RampFactor(TimePoint now) const {
  switch (state()) {
    case TargetState::kAnnounced:
      return ColdStart::kLeastFactor;
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

ProbeNeed TargetLife::Need(TimePoint now) const {
  switch (state()) {
    case TargetState::kSuspect:
      return ProbeNeed::kSuspect;
    case TargetState::kAnnounced:
      return ProbeNeed::kWarming;
    case TargetState::kWarming:
      return m_impl->evidence.IsObserved(now) ? ProbeNeed::kNone
                                              : ProbeNeed::kWarming;
    case TargetState::kServing:
      return m_impl->evidence.IsObserved(now) ? ProbeNeed::kNone
                                              : ProbeNeed::kIdle;
    case TargetState::kGone:
    case TargetState::kDraining:
      break;
  }
  return ProbeNeed::kNone;
}

std::optional<TargetSummary> TargetLife::Summary() const {
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
