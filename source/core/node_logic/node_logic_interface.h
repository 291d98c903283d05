// Interface of NodeLogic for the driver of the daemon, which can be tested with
// a scripted implementation.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_INTERFACE_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_INTERFACE_H_

#include <vector>

#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"

namespace bulrushmount {

class PeerTraffic;

class NodeLogicInterface {
 public:
  virtual ~NodeLogicInterface() = default;

  // Handles one event and returns the actions to carry out, in order. `now`
  // never decreases between calls.
  virtual std::vector<NodeAction> Handle(TimePoint now, NodeEvent event) = 0;

  // When to deliver the next TimerFired; TimePoint::max() for never. May change
  // with every event.
  virtual TimePoint NextWakeup() const = 0;

  // Whether the configuration declares the request repeatable; false if that is
  // unknown. Has no side effects.
  virtual bool IsRepeatable(const CallHead& head) const = 0;

  // Whether this node accepts calls; shown on the `/ready` page.
  virtual bool IsReady() const = 0;

  // Where the transport counts the bytes that it sends to other nodes; null if
  // they are not counted. Lives as long as this object.
  virtual PeerTraffic* traffic() { return nullptr; }
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_INTERFACE_H_
