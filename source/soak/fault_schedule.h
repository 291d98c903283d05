// Which faults a soak causes, when and where: a function of its seed, so that a
// run that failed can be played again.

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
  // A node: SIGKILL, SIGSTOP for a while, SIGTERM, SIGHUP.
  kKillNode,
  kFreezeNode,
  kTerminateNode,
  kReloadNode,
  // A server: gone without a word, not running for a while, leaving as planned,
  // answers that break off.
  kCrashServer,
  kHangServer,
  kDrainServer,
  kBreakAnswers,
  // The store, for one node or for all.
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreForgetsHistory,
  // What a node has with its store, its server, or the nodes that send to it.
  kCutLink,
  kStallLink,
  kStallLinkDown,
  kSlowLink,
  // The operator writes a new version of the routes.
  kMoveRoutes,
};

struct Fault {
  FaultKind kind = FaultKind::kKillNode;
  // From the start of the traffic.
  Duration at{};
  // Until it is undone; nothing is for the kinds that are over at once.
  Duration lasts{};
  std::size_t node = 0;
  // Only of links.
  platform::Link link = platform::Link::kStore;
  // Only of the store: it fails every node.
  bool is_for_all = false;

  friend bool operator==(const Fault&, const Fault&) = default;
};

// In order of time; single ones and series, which may overlap.
std::vector<Fault> DrawSchedule(std::uint64_t seed,
                                Duration length,
                                std::size_t nodes);

std::string ToText(FaultKind kind);
std::string ToText(const Fault& fault);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_FAULT_SCHEDULE_H_
