// Asks the target beside a node how it is, by its health path: whether one that
// has reported may be let in, and how fast it is where a request's start hangs
// on that. Works that wait for such an answer are kept here.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_INQUIRY_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_INQUIRY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/pipeline/dispatcher.h"
#include "core/routes/route_table.h"
#include "core/target_state/target_heartbeat.h"

namespace bulrushmount::detail {

class TargetInquiry {
 public:
  // Both must outlive the object.
  TargetInquiry(const RouteTable& routes, ActionSink& actions)
      : m_routes(routes), m_actions(actions) {}

  // Whether the probe is one of this object's; others have the ids of the
  // measuring budget.
  static bool IsOwn(ProbeId probe);

  // Whether the target can serve.
  void AskHealth(TimePoint now, const TargetHeartbeat& target);
  // How fast it is; nothing while that question is open. False if it cannot be
  // asked, since its health path is unknown.
  bool AskSpeed(TimePoint now, const TargetHeartbeat& target);
  bool IsAskingSpeed() const { return m_speed_probe.has_value(); }
  // The answer to AskSpeed has come, or will not.
  bool IsSpeedProbe(ProbeId probe) const { return probe == m_speed_probe; }

  // The work waits for the answer to AskSpeed.
  void Hold(WorkId work) { m_held.push_back(work); }
  // Ends the question and returns what waited for it.
  std::vector<WorkId> Release();

 private:
  // The id of the probe; empty if the target's health path is unknown.
  std::optional<ProbeId> Send(TimePoint now,
                              const TargetHeartbeat& target,
                              Duration patience);

  const RouteTable& m_routes;
  ActionSink& m_actions;
  std::uint64_t m_last_probe = 0;
  std::optional<ProbeId> m_speed_probe;
  // Empty without m_speed_probe.
  std::vector<WorkId> m_held;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_TARGET_INQUIRY_H_
