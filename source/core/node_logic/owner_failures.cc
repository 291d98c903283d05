// Implements `owner_side.h`: exchanges that fail, and whether the target has
// crashed.

#include <optional>
#include <string_view>
#include <vector>

#include "core/common/logging.h"
#include "core/node_logic/owner_side.h"

namespace bulrushmount::detail {

void OwnerSide::OnConnectFailed(TimePoint now, WorkId work) {
  OnCrashConfirmed(now, "connect-failed");
  EndNotRun(now, work, Reason::kConnectFailed, RequestResult::kConnectFailed);
}

void OwnerSide::OnExchangeFailed(TimePoint now,
                                 const TargetExchangeFailed& event) {
  const std::optional<OwnedWork> work = TakeHandedOver(event.work);
  if (!work)
    return;
  RecordEnd(now, *work, TraitsOf(Reason::kTargetLost).token);
  m_life.OnRequestResult(now, RequestResult::kConnectionLost,
                         work->head.workspace);
  const AdmittedWork failed = work->admitted();
  // With m_needs_crash a lost answer does not indicate a crash; only refused
  // connections do. Otherwise the request is suspect at once, since a retry by
  // its entry or a repeat by its caller could crash the next target meanwhile.
  if (m_needs_crash) {
    m_quarantine.OnWorkEnded(failed);
    m_failed_exchanges.Add(now, event.work, failed);
  } else {
    m_quarantine.OnTargetCrashed(now, {failed});
    m_actions.Push(FailWork{event.work, Reason::kTargetLost, LoadAt(now)});
  }
  AdmissionOutput output =
      m_admission.OnEnded(now, event.work, WorkEnd::kFailed);
  if (!m_needs_crash && !IsAnyHandedOver())
    RecordCrash(now);
  Apply(now, output);
  CheckProcess(now);
}

void OwnerSide::CheckProcess(TimePoint now) {
  if (m_failed_exchanges.waiting() == 0)
    return;
  const bool is_checking =
      m_gate.current() && m_health_checker.CheckProcess(now, *m_gate.current());
  if (!is_checking)
    FailWaiting(now, Reason::kTargetLost, now);
}

void OwnerSide::OnProcessChecked(TimePoint now, bool is_refused) {
  const TimePoint checked_at = m_health_checker.EndProcessCheck();
  if (is_refused) {
    OnCrashConfirmed(now, "probe-refused");
    return;
  }
  FailWaiting(now, Reason::kTargetLost, checked_at);
  // The process may have ended since the probe was sent.
  CheckProcess(now);
}

void OwnerSide::OnCrashConfirmed(TimePoint now, std::string_view evidence) {
  ReportCrashSuspects(now, evidence);
  FailWaiting(now, Reason::kTargetCrashed, now);
}

void OwnerSide::FailWaiting(TimePoint now,
                            Reason reason,
                            TimePoint failed_until) {
  for (const WorkId id : m_failed_exchanges.TakeWaiting(failed_until))
    m_actions.Push(FailWork{id, reason, LoadAt(now)});
}

void OwnerSide::ReportCrashSuspects(TimePoint now, std::string_view evidence) {
  const std::vector<AdmittedWork> suspects = m_failed_exchanges.TakeRecent(now);
  if (suspects.empty())
    return;
  LogLine(LogLevel::kWarning, "target.crash_suspects")
      .Add("instance", m_instance)
      .Add("evidence", evidence)
      .Add("requests", suspects.size());
  m_quarantine.SuspectEndedWorks(now, suspects);
}

}  // namespace bulrushmount::detail
