// The door of node_logic as the daemon's driver sees it, so that the driver can
// be tested with a scripted stand-in.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_BRAIN_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_BRAIN_H_

#include <vector>

#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"

namespace bulrushmount {

class NodeBrain {
 public:
  virtual ~NodeBrain() = default;

  // Takes one event; the actions are to be carried out in their order. `now`
  // never falls from call to call.
  virtual std::vector<NodeAction> Handle(TimePoint now, NodeEvent event) = 0;

  // When to hand in the next TimerFired; TimePoint::max() for never. May
  // change with every event.
  virtual TimePoint NextWakeup() const = 0;

  // Whether running the request twice does no harm, by the configuration in
  // force; false where that is not known. Changes nothing.
  virtual bool IsRepeatable(const CallHead& head) const = 0;

  // Whether this node takes calls; the `/ready` page.
  virtual bool IsReady() const = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_BRAIN_H_
