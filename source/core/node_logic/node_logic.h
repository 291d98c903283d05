// The whole decision logic of a node behind one door: typed events go in, typed
// actions come out. It does no I/O and reads no clock, so a test can run
// several nodes joined by a queue, and stop or cut them between two actions.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_

#include <memory>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"
#include "core/node_logic/node_brain.h"
#include "core/node_logic/node_settings.h"
#include "core/reporting/burn_report.h"
#include "core/routes/route_document.h"

namespace bulrushmount {

namespace detail {
class Node;
}  // namespace detail

class NodeLogic : public NodeBrain {
 public:
  // `random` must outlive the object.
  NodeLogic(const NodeSettings& settings, RandomSource& random, TimePoint now);
  // The operator writes one routing document, which `decoder` reads. It must
  // outlive the object.
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

  // The `/status` page: what this node knows of the fleet and of itself.
  std::string StatusJson(TimePoint now) const;
  // The `/metrics` page, in the Prometheus text form.
  std::string MetricsText(TimePoint now) const;
  // This node's part of the burn report.
  BurnReport BurnSnapshot(TimePoint now);
  // Where the other live members take streams, to gather their parts.
  std::vector<Endpoint> PeerStreams() const;

 private:
  std::unique_ptr<detail::Node> m_node;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_LOGIC_H_
