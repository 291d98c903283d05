// Implements `owner_side.h`: reports of the local target and their effect on
// its requests.

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

#include "core/common/hex.h"
#include "core/common/logging.h"
#include "core/node_logic/owner_side.h"

namespace bulrushmount::detail {

namespace {

// `identity` must be the same whenever this process of the target is seen, at
// any owner.
TargetProcess IdentifyProcess(const std::string& identity) {
  return TargetProcess(std::max<std::uint64_t>(
      1, XXH3_64bits(identity.data(), identity.size())));
}

TargetProcess ProcessOf(const TargetHeartbeat& heartbeat) {
  const std::int64_t started =
      heartbeat.started ? heartbeat.started->time_since_epoch().count() : 0;
  return IdentifyProcess(fmt::format("{} {}", heartbeat.instance, started));
}

// Without ids, targets are distinguished by their addresses.
TargetProcess ProcessOf(const std::string& stream_ip,
                        const TargetAnnounced& announced) {
  return IdentifyProcess(fmt::format("{} {} {}", stream_ip,
                                     ToString(announced.endpoint),
                                     announced.incarnation));
}

}  // namespace

void OwnerSide::SetProcess(TimePoint now, TargetProcess process) {
  if (m_process == process)
    return;
  m_process = process;
  m_is_rate_limit_stated = false;
  m_is_target_leaving = false;
  m_start_rate.SetRate(now, std::nullopt);
}

void OwnerSide::ApplyNotice(TimePoint now,
                            const OwnedWork& work,
                            const TargetAnswerBegun& answer) {
  // An answer for another target states nothing about this one.
  if (answer.is_wrong_target || work.process != m_process)
    return;
  // Whether a target states its limit where it did not run the request is up to
  // it, so that only an answer to a run withdraws one.
  const bool is_limit_stated = answer.is_rate_limit_stated &&
                               (answer.notice.rate_limit || !answer.is_shed);
  if (is_limit_stated) {
    m_is_rate_limit_stated = true;
    SetRateLimit(now, answer.notice.rate_limit, "answer");
  }
  if (answer.notice.is_leaving)
    OnLeavingAnnounced(now, "answer");
}

void OwnerSide::ApplyProbedNotice(TimePoint now, const ProbeAnswered& event) {
  if (event.instance != m_instance)
    return;
  if (event.notice.rate_limit) {
    m_is_rate_limit_stated = true;
    SetRateLimit(now, event.notice.rate_limit, "probe");
  }
  if (event.notice.is_leaving)
    OnLeavingAnnounced(now, "probe");
}

// Limits that entries know may be outdated, so the lowest one applies until the
// target states its limit.
void OwnerSide::ApplyRelayedRateLimit(TimePoint now, const WorkHead& head) {
  const bool applies = head.target_rate_limit &&
                       head.target_process == m_process &&
                       m_process != TargetProcess() && !m_is_rate_limit_stated;
  if (!applies)
    return;
  if (!m_start_rate.rate() || *head.target_rate_limit < *m_start_rate.rate())
    SetRateLimit(now, head.target_rate_limit, "entry");
}

void OwnerSide::SetRateLimit(TimePoint now,
                             const std::optional<double>& rate_limit,
                             std::string_view source) {
  if (m_start_rate.rate() == rate_limit)
    return;
  LogLine line(LogLevel::kInfo, rate_limit ? "target.rate_limited"
                                           : "target.rate_limit_withdrawn");
  line.Add("instance", m_instance)
      .Add("process", ToHex(m_process.value()))
      .Add("source", source);
  if (rate_limit)
    line.Add("per_second", *rate_limit);
  if (m_start_rate.rate())
    line.Add("previous_per_second", *m_start_rate.rate());
  m_start_rate.SetRate(now, rate_limit);
  // Queued works may start, or may no longer start in time.
  Apply(now, m_admission.OnTimer(now));
}

// The heartbeats of the target may continue to report that it is ready.
void OwnerSide::OnLeavingAnnounced(TimePoint now, std::string_view source) {
  if (m_is_target_leaving)
    return;
  m_is_target_leaving = true;
  LogLine(LogLevel::kInfo, "target.leaving")
      .Add("instance", m_instance)
      .Add("process", ToHex(m_process.value()))
      .Add("source", source);
  if (m_gate.current())
    ApplyVerdict(now, m_gate.OnDeparted(m_instance, m_process_started));
  else
    OnWithdrawn(now);
}

void OwnerSide::OnAnnounced(TimePoint now, const TargetAnnounced& event) {
  const bool is_same =
      m_announced && m_announced->incarnation == event.incarnation;
  if (!m_gate.current())
    SetProcess(now, ProcessOf(m_stream_ip, event));
  m_announcements.OnAnnounced(now, is_same);
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
  // Otherwise two reports of another target would replace the current one and
  // close its gate permanently. A draining target is accepted whatever its
  // service, so that its leave is acknowledged.
  const bool is_known_service =
      !m_routes.is_known() || m_routes.FindService(heartbeat.service);
  if (!is_known_service && heartbeat.readiness == TargetReadiness::kReady) {
    m_metrics.OnReportRefused("unknown-service");
    if (m_refused_reports.ShouldLog(now, heartbeat.instance,
                                    heartbeat.service.value())) {
      LogLine(LogLevel::kWarning, "target.unknown_service")
          .Add("instance", heartbeat.instance)
          .Add("service", heartbeat.service);
    }
    return;
  }
  ApplyVerdict(now, m_gate.OnHeartbeat(now, heartbeat));
}

void OwnerSide::OnReportRefused(TimePoint now,
                                const TargetReportRefused& event) {
  m_metrics.OnReportRefused("unreadable");
  if (m_refused_reports.ShouldLog(now, event.instance, event.fault)) {
    LogLine(LogLevel::kWarning, "target.unreadable_report")
        .Add("instance", event.instance)
        .Add("fault", event.fault);
  }
}

void OwnerSide::OnDeparted(TimePoint now, const TargetDeparted& event) {
  LogLine(LogLevel::kInfo, "target.departed").Add("instance", event.instance);
  ApplyVerdict(now, m_gate.OnDeparted(event.instance, event.started));
}

bool OwnerSide::OnOwnProbe(TimePoint now, const ProbeAnswered& event) {
  if (!TargetHealthChecker::IsOwn(event.probe))
    return false;
  ApplyProbedNotice(now, event);
  ApplyColdReport(now, event);
  if (event.load_sample)
    ApplyLoadSample(now, *event.load_sample);
  if (m_health_checker.IsSpeedProbe(event.probe)) {
    ReleaseHeld(now);
    return true;
  }
  if (m_health_checker.IsProcessProbe(event.probe)) {
    OnProcessChecked(now, false);
    return true;
  }
  LogLine(LogLevel::kInfo, "target.probed")
      .Add("instance", event.instance)
      .Add("healthy", event.is_healthy);
  // Otherwise its next heartbeat, which may still report that it is ready,
  // would open the gate.
  if (event.notice.is_leaving && !event.instance.value().empty())
    ApplyVerdict(now, m_gate.OnDeparted(event.instance));
  ApplyVerdict(now, m_gate.OnProbe(event.instance, event.is_healthy));
  // The target may have become the current one by this probe.
  ApplyProbedNotice(now, event);
  return true;
}

void OwnerSide::ApplyColdReport(TimePoint now, const ProbeAnswered& event) {
  const bool is_of_current =
      event.instance.value().empty() || event.instance == m_instance;
  if (!is_of_current || !m_cold_starts.is_limited())
    return;
  if (!event.cold_time_left) {
    m_cold_starts.OnVerificationFailed(now);
    return;
  }
  const bool was_cold = m_cold_starts.IsCold(now);
  m_cold_starts.OnVerified(now, now - event.latency, *event.cold_time_left);
  const bool is_cold = m_cold_starts.IsCold(now);
  if (is_cold != was_cold) {
    LogLine(LogLevel::kInfo, is_cold ? "target.cold" : "target.warm")
        .Add("instance", m_instance)
        .Add("cold_ms", ToMilliseconds(*event.cold_time_left));
  }
  // Queued works may start if the target is now warm.
  Apply(now, m_admission.OnTimer(now));
}

bool OwnerSide::OnOwnProbe(TimePoint now, const ProbeFailed& event) {
  if (!TargetHealthChecker::IsOwn(event.probe))
    return false;
  m_cold_starts.OnVerificationFailed(now);
  if (m_health_checker.IsSpeedProbe(event.probe)) {
    ReleaseHeld(now);
    return true;
  }
  if (m_health_checker.IsProcessProbe(event.probe)) {
    OnProcessChecked(now, event.is_refused);
    return true;
  }
  const LogLine line(LogLevel::kInfo, "target.probe_failed");
  ApplyVerdict(now, m_gate.OnProbeFailed());
  return true;
}

void OwnerSide::OnRoutesChanged(TimePoint now) {
  SyncColdRate();
  if (m_gate.candidate())
    m_health_checker.CheckHealth(now, *m_gate.candidate());
}

void OwnerSide::ApplyVerdict(TimePoint now, GateAction verdict) {
  switch (verdict) {
    case GateAction::kNone:
      return;
    case GateAction::kProbe:
      m_health_checker.CheckHealth(now, *m_gate.candidate());
      return;
    case GateAction::kOpen:
      OpenGate(now);
      return;
    case GateAction::kClose:
      LogLine(LogLevel::kInfo, "target.gate_closed")
          .Add("instance", m_instance);
      m_is_target_leaving = true;
      OnWithdrawn(now);
      return;
  }
}

void OwnerSide::OpenGate(TimePoint now) {
  const TargetHeartbeat& heartbeat = *m_gate.current();
  const bool has_restarted = heartbeat.started && m_process_started &&
                             heartbeat.started != m_process_started;
  const bool is_new = heartbeat.instance != m_instance || has_restarted;
  if (is_new) {
    // The previous process is gone: exchanges that failed there may have
    // crashed it.
    OnCrashConfirmed(now, "replaced");
    m_instance = heartbeat.instance;
    m_process_started.reset();
    SetProcess(now, ProcessOf(heartbeat));
    ++m_replacement_count;
    m_cold_starts.OnReplaced(now);
    LogLine(LogLevel::kInfo, "target.gate_opened")
        .Add("instance", m_instance)
        .Add("service", heartbeat.service)
        .Add("slots", heartbeat.slots)
        .Add("cold_ms", ToMilliseconds(heartbeat.cold_time_left));
  }
  m_cold_starts.OnColdReported(now, heartbeat.cold_time_left);
  if (heartbeat.started)
    m_process_started = heartbeat.started;
  if (m_endpoint != heartbeat.endpoint)
    m_actions.Push(UseTarget{heartbeat.endpoint});
  const ServiceProfile* const profile = m_routes.FindService(heartbeat.service);
  TargetAnnounced announced;
  announced.service = heartbeat.service;
  announced.endpoint = heartbeat.endpoint;
  announced.slots = heartbeat.slots;
  announced.connections = profile ? profile->max_connections : heartbeat.slots;
  announced.incarnation = Incarnation(m_replacement_count);
  announced.cold_time_left = heartbeat.cold_time_left;
  SyncColdRate();
  OnAnnounced(now, announced);
}

void OwnerSide::SyncColdRate() {
  const ServiceProfile* const profile =
      m_gate.current() ? m_routes.FindService(m_gate.current()->service)
                       : nullptr;
  m_cold_starts.SetRate(profile ? profile->cold_rate : std::nullopt);
}

// Called when an exchange has failed and no other is in progress: the target
// counts as crashed until its next report.
void OwnerSide::RecordCrash(TimePoint now) {
  m_life.OnCrashed(now);
  LogLine(LogLevel::kWarning, "target.crashed")
      .Add("state", ToToken(m_life.state()));
  SyncAdmission(now);
}

void OwnerSide::CheckAnnouncements(TimePoint now) {
  while (m_life.state() != TargetState::kGone &&
         m_announcements.ConsumeMissed(now))
    m_life.OnAnnouncementMissed(now);
}

void OwnerSide::SyncAdmission(TimePoint now) {
  const Reason closed = ClosedReason();
  const bool should_admit =
      closed == Reason::kNone && m_announced && m_life.IsServing();
  if (should_admit == m_is_admitting)
    return;
  m_is_admitting = should_admit;
  if (should_admit) {
    Apply(now, m_admission.SetTarget(now, m_announced->slots,
                                     m_announced->connections));
  } else {
    Apply(now, m_admission.Drain(
                   now, closed == Reason::kNone ? Reason::kDraining : closed));
  }
}

}  // namespace bulrushmount::detail
