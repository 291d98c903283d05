// Part of `target_gate.h`.

#include "core/target_state/target_gate.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

// Maximum number of targets that are remembered on one node while their
// heartbeats can still arrive: a restart takes seconds, and a delayed heartbeat
// arrives within minutes.
constexpr std::size_t kMaxRecords = 64;

// A heartbeat may arrive seconds after it was sent.
constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(5);

// Longer than a probe takes, so that its result counts first.
constexpr Duration kMinConfirmationTime = std::chrono::milliseconds(500);

}  // namespace

GateAction TargetGate::OnHeartbeat(TimePoint now,
                                   const TargetHeartbeat& heartbeat) {
  Record& record = RecordOf(heartbeat.instance);
  if (!UpdateProcess(heartbeat.started, record)) {
    LogLine(LogLevel::kInfo, "target.heartbeat_of_earlier_process")
        .Add("instance", heartbeat.instance)
        .Add("sequence", heartbeat.sequence);
    return heartbeat.readiness == TargetReadiness::kDraining
               ? CloseEarlierProcess(heartbeat.instance, heartbeat.started)
               : GateAction::kNone;
  }
  // Draining is final, even if the heartbeat is late.
  if (heartbeat.readiness == TargetReadiness::kDraining)
    return Close(heartbeat.instance);
  const bool is_stale = heartbeat.sequence <= record.newest_sequence;
  if (record.is_closed || is_stale) {
    LogLine(LogLevel::kInfo, "target.heartbeat_ignored")
        .Add("instance", heartbeat.instance)
        .Add("sequence", heartbeat.sequence)
        .Add("newest_sequence", record.newest_sequence)
        .Add("closed", record.is_closed);
    return GateAction::kNone;
  }
  record.newest_sequence = heartbeat.sequence;
  const bool is_candidate = IsSameProcess(m_candidate, heartbeat);
  const bool is_confirmed = IsSameProcess(m_current, heartbeat) ||
                            (is_candidate && MayConfirmCandidate(now));
  if (is_confirmed)
    return Open(heartbeat);
  if (!is_candidate) {
    m_candidate_since = now;
    m_is_candidate_unhealthy = false;
  }
  m_candidate = heartbeat;
  return GateAction::kProbe;
}

GateAction TargetGate::OnDeparted(const InstanceId& instance,
                                  const std::optional<ProcessStart>& started) {
  if (!UpdateProcess(started, RecordOf(instance)))
    return CloseEarlierProcess(instance, started);
  return Close(instance);
}

// Until a later process is confirmed, the earlier one is the current target, so
// its departure closes the gate.
GateAction TargetGate::CloseEarlierProcess(
    const InstanceId& instance,
    const std::optional<ProcessStart>& started) {
  const bool is_current = m_current && m_current->instance == instance &&
                          m_current->started == started;
  if (!is_current)
    return GateAction::kNone;
  m_current.reset();
  return GateAction::kClose;
}

bool TargetGate::UpdateProcess(const std::optional<ProcessStart>& started,
                               Record& record) {
  if (!started)
    return true;
  if (record.started && *started < *record.started)
    return false;
  const bool is_later = record.started && *started > *record.started;
  if (is_later) {
    record.newest_sequence = 0;
    record.is_closed = false;
  }
  record.started = started;
  return true;
}

bool TargetGate::MayConfirmCandidate(TimePoint now) const {
  return now - m_candidate_since >=
         (m_is_candidate_unhealthy ? kMaxHeartbeatDelay : kMinConfirmationTime);
}

bool TargetGate::IsSameProcess(const std::optional<TargetHeartbeat>& known,
                               const TargetHeartbeat& heartbeat) {
  if (!known || known->instance != heartbeat.instance)
    return false;
  // A heartbeat without a start time is attributed to the known process.
  return !known->started || !heartbeat.started ||
         known->started == heartbeat.started;
}

GateAction TargetGate::OnProbe(const InstanceId& instance, bool is_healthy) {
  if (!m_candidate)
    return GateAction::kNone;
  const bool is_other =
      !instance.value().empty() && instance != m_candidate->instance;
  if (is_other) {
    // The heartbeat was late: another target answers at the address by now.
    RecordOf(m_candidate->instance).is_closed = true;
    m_candidate.reset();
    return GateAction::kNone;
  }
  // An unhealthy target may be draining or have left, or its health endpoint
  // may be wrong; its further heartbeats decide.
  m_is_candidate_unhealthy = !is_healthy;
  if (!is_healthy)
    return GateAction::kNone;
  const TargetHeartbeat confirmed = *m_candidate;
  return Open(confirmed);
}

GateAction TargetGate::OnProbeFailed() {
  return GateAction::kNone;
}

TargetGate::Record& TargetGate::RecordOf(const InstanceId& instance) {
  const auto found = std::find_if(m_records.begin(), m_records.end(),
                                  [&instance](const Record& record) {
                                    return record.instance == instance;
                                  });
  if (found != m_records.end())
    return *found;
  if (m_records.size() >= kMaxRecords)
    m_records.pop_front();
  m_records.push_back(Record{instance, std::nullopt, 0, false});
  return m_records.back();
}

GateAction TargetGate::Close(const InstanceId& instance) {
  RecordOf(instance).is_closed = true;
  if (m_candidate && m_candidate->instance == instance)
    m_candidate.reset();
  if (!m_current || m_current->instance != instance)
    return GateAction::kNone;
  m_current.reset();
  return GateAction::kClose;
}

GateAction TargetGate::Open(const TargetHeartbeat& heartbeat) {
  if (m_current && m_current->instance != heartbeat.instance)
    RecordOf(m_current->instance).is_closed = true;
  m_current = heartbeat;
  m_candidate.reset();
  return GateAction::kOpen;
}

}  // namespace bulrushmount
