// Prevents a request that crashes targets from being sent to one target after
// another.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_QUARANTINE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_QUARANTINE_FILTER_H_

#include "core/pipeline/filter.h"
#include "core/quarantine/quarantine.h"

namespace bulrushmount {

class QuarantineFilter : public CallFilter {
 public:
  // All must outlive the object. `event_time` is the time of the event being
  // handled, since the callback of a permit carries no time. See
  // NodeSettings::needs_crash_to_suspect.
  QuarantineFilter(Quarantine& quarantine,
                   FilterContinuation& continuation,
                   const TimePoint& event_time,
                   bool needs_crash)
      : m_quarantine(quarantine),
        m_continuation(continuation),
        m_event_time(event_time),
        m_needs_crash(needs_crash) {}

  FilterVerdict OnCall(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

 private:
  void AskForPermit(TimePoint now, const Call& call);
  Reason ReasonWithoutPermit(Fingerprint fingerprint);
  void OnPermit(CallId id, Fingerprint fingerprint, PermitResult result);
  void EndPermit(TimePoint now, const Call& call, const CallEnd& end);
  void PublishSuspicion(TimePoint now, const Call& call, const CallEnd& end);
  // Whether the target has ended, as far as this node knows.
  bool HasCrashed(Reason reason) const;

  Quarantine& m_quarantine;
  FilterContinuation& m_continuation;
  const TimePoint& m_event_time;
  const bool m_needs_crash;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_QUARANTINE_FILTER_H_
