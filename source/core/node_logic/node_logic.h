// The decision logic of a node as a state machine: it maps typed events to
// typed actions. It performs no I/O and reads no clock, so a test can connect
// several nodes by a queue and stop or disconnect them between any two actions.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_

#include <memory>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"
#include "core/node_logic/node_logic_interface.h"
#include "core/node_logic/node_settings.h"
#include "core/reporting/burn_report.h"
#include "core/reporting/workspace_report.h"
#include "core/routes/route_document.h"

namespace bulrushmount {

namespace detail {
class Node;
}  // namespace detail

class NodeLogic : public NodeLogicInterface {
 public:
  // `random` must outlive the object.
  NodeLogic(const NodeSettings& settings, RandomSource& random, TimePoint now);
  // Uses a routing document of the operator, which `decoder` reads. `decoder`
  // must outlive the object.
  NodeLogic(const NodeSettings& settings,
            const RouteDocumentDecoder& decoder,
            RandomSource& random,
            TimePoint now);
  ~NodeLogic() override;

  NodeLogic(const NodeLogic&) = delete;
  NodeLogic& operator=(const NodeLogic&) = delete;

  std::vector<NodeAction> Handle(TimePoint now, NodeEvent event) override;
  TimePoint NextWakeup() const override;
  bool IsRepeatable(const CallHead& head) const override;
  bool IsReady() const override;
  PeerTraffic* traffic() override;

  // Content of the `/status` page: the state of this node and its view of the
  // fleet.
  std::string StatusJson(TimePoint now) const;
  // Content of the `/metrics` page in the Prometheus text format.
  std::string MetricsText(TimePoint now) const;
  // The burn report of this node.
  // Use of the limits of workspaces whose home is this node.
  WorkspaceReport WorkspaceSnapshot(TimePoint now) const;
  BurnReport BurnSnapshot(TimePoint now);
  // Stream endpoints of the other live members, for collecting their burn
  // reports.
  std::vector<Endpoint> PeerStreams() const;

 private:
  std::unique_ptr<detail::Node> m_node;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_
