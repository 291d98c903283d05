// Generates the schedule of faults that a soak run injects. The schedule
// depends only on the seed, the length and the number of nodes, so that a
// failed run can be repeated.

#ifndef BULRUSHMOUNT_SOAK_FAULT_SCHEDULE_H_
#define BULRUSHMOUNT_SOAK_FAULT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "platform/stand_ins/node_fleet.h"

namespace bulrushmount::soak {

enum class FaultKind : std::uint8_t {
  // Faults of a node process: SIGKILL, SIGSTOP followed by SIGCONT, SIGTERM,
  // SIGHUP.
  kKillNode,
  kFreezeNode,
  kTerminateNode,
  kReloadNode,
  // Faults of a server: it is killed, stops responding for a while, drains and
  // leaves, or truncates its answers.
  kCrashServer,
  kHangServer,
  kDrainServer,
  kBreakAnswers,
  // Faults of the table service, as seen by one node or by all nodes.
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreForgetsHistory,
  // Faults of a link of a node: to the table service, to its server, or from
  // the nodes that send to it.
  kCutLink,
  kStallLink,
  kStallLinkDown,
  kSlowLink,
  // Statements of a server in its answers: it names a request rate, changes it
  // and withdraws it; or it is leaving, while its heartbeats do not report it.
  kLimitServer,
  kLeaveByAnswers,
  // Not a fault: the operator writes a new version of the routes.
  kMoveRoutes,
};

struct Fault {
  FaultKind kind = FaultKind::kKillNode;
  // The time since the start of the traffic.
  Duration at{};
  // The time until the fault is undone; unused for kinds without a duration.
  Duration duration{};
  std::size_t node = 0;
  // Used only for faults of links.
  platform::Link link = platform::Link::kStore;
  // Requests per second; used only for kLimitServer.
  double rate = 0;
  // Used only for faults of the table service and for kLimitServer: whether all
  // nodes are affected.
  bool affects_all_nodes = false;

  friend bool operator==(const Fault&, const Fault&) = default;
};

// Returns single faults and series of faults, sorted by time. They may overlap.
// Without `has_notices`, servers state nothing in their answers; the other
// faults of a seed are the same.
std::vector<Fault> GenerateSchedule(std::uint64_t seed,
                                    Duration length,
                                    std::size_t nodes,
                                    bool has_notices = true);

std::string ToText(FaultKind kind);
std::string ToText(const Fault& fault);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_FAULT_SCHEDULE_H_
