// Implements `quarantine_filter.h`.

#include "core/pipeline/quarantine_filter.h"

namespace bulrushmount {

FilterVerdict QuarantineFilter::OnCall(TimePoint now, Call& call) {
  // A node that has just started or was paused has not yet received the
  // quarantine records.
  if (!m_quarantine.IsCaughtUp())
    return RefuseCall(Reason::kConfigurationUnknown);
  switch (m_quarantine.Check(now, call.head.fingerprint)) {
    case Verdict::kClear:
      return PassCall{};
    case Verdict::kQuarantined:
      return RefuseCall(Reason::kQuarantined);
    case Verdict::kSuspect:
      break;
  }
  AskForPermit(now, call);
  return HoldCall{};
}

void QuarantineFilter::OnCallEnded(TimePoint now,
                                   Call& call,
                                   const CallEnd& end) {
  if (call.holds_permit)
    EndPermit(now, call, end);
  else
    PublishSuspicion(now, call, end);
  call.holds_permit = false;
}

void QuarantineFilter::AskForPermit(TimePoint now, const Call& call) {
  const CallId id = call.id;
  const Fingerprint fingerprint = call.head.fingerprint;
  m_quarantine.RequestPermit(now, fingerprint,
                             [this, id, fingerprint](PermitResult result) {
                               OnPermit(id, fingerprint, result);
                             });
}

void QuarantineFilter::OnPermit(CallId id,
                                Fingerprint fingerprint,
                                PermitResult result) {
  switch (result) {
    case PermitResult::kGranted:
      break;
    case PermitResult::kRefused:
      m_continuation.Resume(m_event_time, id,
                            RefuseCall(ReasonWithoutPermit(fingerprint)));
      return;
    case PermitResult::kLost:
      m_continuation.OnPermitLost(m_event_time, id);
      return;
  }
  if (m_continuation.TakePermit(id)) {
    m_continuation.Resume(m_event_time, id, PassCall{});
    return;
  }
  // The call ended while it waited: the permit must be released here, or it
  // stays taken until it expires.
  m_quarantine.EndPermit(m_event_time, fingerprint, PermitEnd::kInconclusive);
}

// A quarantined request is refused for minutes; a suspect one may run as soon
// as the current holder of the permit has ended.
Reason QuarantineFilter::ReasonWithoutPermit(Fingerprint fingerprint) {
  return m_quarantine.Check(m_event_time, fingerprint) == Verdict::kQuarantined
             ? Reason::kQuarantined
             : Reason::kSuspect;
}

void QuarantineFilter::EndPermit(TimePoint now,
                                 const Call& call,
                                 const CallEnd& end) {
  PermitEnd permit_end = PermitEnd::kInconclusive;
  if (end.outcome == Outcome::kAnswered && !end.is_replay)
    permit_end = PermitEnd::kFinished;
  else if (HasCrashed(end.reason))
    permit_end = PermitEnd::kCrashed;
  m_quarantine.EndPermit(now, call.head.fingerprint, permit_end);
}

// The end of a node says nothing of its target, and a lost answer may have been
// lost by a process that runs on. Without evidence of their own, both count as
// a crash.
bool QuarantineFilter::HasCrashed(Reason reason) const {
  const bool may_have_crashed =
      reason == Reason::kTargetLost || reason == Reason::kNodeLost;
  return reason == Reason::kTargetCrashed ||
         (may_have_crashed && !m_needs_crash);
}

void QuarantineFilter::PublishSuspicion(TimePoint now,
                                        const Call& call,
                                        const CallEnd& end) {
  const bool was_sent = call.attempts_made > 0;
  if (!was_sent)
    return;
  if (end.reason == Reason::kQuarantined || end.reason == Reason::kSuspect)
    m_quarantine.OnOwnerRefused(now, call.head.fingerprint);
  if (!HasCrashed(end.reason))
    return;
  if (end.reason != Reason::kNodeLost)
    m_quarantine.OnTargetLost(now, call.head.fingerprint);
  else if (call.may_have_run)
    m_quarantine.OnOwnerLost(now, call.head.fingerprint);
}

}  // namespace bulrushmount
