// Probes the health endpoint of the local target: whether a target that has
// reported may be admitted, how fast it currently is, and whether its process
// still runs. Holds the works that wait for a speed probe.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_HEALTH_CHECKER_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_HEALTH_CHECKER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/pipeline/dispatcher.h"
#include "core/routes/route_table.h"
#include "core/target_state/target_heartbeat.h"

namespace bulrushmount::detail {

class TargetHealthChecker {
 public:
  // Both must outlive the object.
  TargetHealthChecker(const RouteTable& routes, ActionSink& actions)
      : m_routes(routes), m_actions(actions) {}

  // Whether the probe was sent by this object; probes of the measuring budget
  // use other ids.
  static bool IsOwn(ProbeId probe);

  // Probes whether the target can serve.
  void CheckHealth(TimePoint now, const TargetHeartbeat& target);
  // Probes the speed of the target, unless such a probe is pending. False if
  // the health path is unknown, so that no probe can be sent.
  bool CheckSpeed(TimePoint now, const TargetHeartbeat& target);
  bool IsCheckingSpeed() const { return m_speed_probe.has_value(); }
  // Whether this is the pending speed probe.
  bool IsSpeedProbe(ProbeId probe) const { return probe == m_speed_probe; }

  // Probes whether the target's process still runs, unless such a probe is
  // pending. False if no probe can be sent.
  bool CheckProcess(TimePoint now, const TargetHeartbeat& target);
  // Whether this is the pending probe of the process.
  bool IsProcessProbe(ProbeId probe) const { return probe == m_process_probe; }
  // Ends the probe of the process and returns when it was sent.
  TimePoint EndProcessCheck();

  // Holds the work until the speed probe ends.
  void Hold(WorkId work) { m_held.push_back(work); }
  // Ends the speed probe and returns the works that it held.
  std::vector<WorkId> Release();

 private:
  // Returns the id of the probe; empty if the health path is unknown.
  std::optional<ProbeId> Send(TimePoint now,
                              const TargetHeartbeat& target,
                              Duration timeout);

  const RouteTable& m_routes;
  ActionSink& m_actions;
  std::uint64_t m_last_probe = 0;
  std::optional<ProbeId> m_speed_probe;
  std::optional<ProbeId> m_process_probe;
  // When m_process_probe was sent.
  TimePoint m_process_checked_at;
  // Empty unless m_speed_probe is set.
  std::vector<WorkId> m_held;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_HEALTH_CHECKER_H_
