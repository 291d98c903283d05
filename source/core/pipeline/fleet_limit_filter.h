// Applies the limit of the workspace over the fleet to a call. Holds the call
// while its unit is requested from the workspace's home.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_FLEET_LIMIT_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_FLEET_LIMIT_FILTER_H_

#include <unordered_map>
#include <unordered_set>

#include "core/pipeline/filter.h"
#include "core/workspace_limits/fleet_limiter.h"

namespace bulrushmount {

class FleetLimitFilter : public CallFilter, private UnitListener {
 public:
  // Both must outlive the object.
  FleetLimitFilter(FleetLimiter& limiter, FilterContinuation& continuation);
  ~FleetLimitFilter() override;

  FilterVerdict OnCall(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

 private:
  void OnUnitDecision(TimePoint now,
                      CallId call,
                      const UnitDecision& decision) override;
  FilterVerdict ToVerdict(CallId call, const UnitDecision& decision);

  FleetLimiter& m_limiter;
  FilterContinuation& m_continuation;
  // Calls that wait for their unit.
  std::unordered_set<CallId> m_held;
  // Units of calls in progress that can be given back.
  std::unordered_map<CallId, UnitLease> m_leases;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_FLEET_LIMIT_FILTER_H_
