// Implements `node_logic.h`.

#include "core/node_logic/node_logic.h"

#include <utility>

#include "core/node_logic/node.h"

namespace bulrushmount {

NodeLogic::NodeLogic(const NodeSettings& settings,
                     RandomSource& random,
                     TimePoint now)
    : m_node(std::make_unique<detail::Node>(settings, nullptr, random, now)) {}

NodeLogic::NodeLogic(const NodeSettings& settings,
                     const RouteDocumentDecoder& decoder,
                     RandomSource& random,
                     TimePoint now)
    : m_node(std::make_unique<detail::Node>(settings, &decoder, random, now)) {}

NodeLogic::~NodeLogic() = default;

std::vector<NodeAction> NodeLogic::Handle(TimePoint now, NodeEvent event) {
  return m_node->Handle(now, std::move(event));
}

TimePoint NodeLogic::NextWakeup() const {
  return m_node->NextWakeup();
}

bool NodeLogic::IsRepeatable(const CallHead& head) const {
  return m_node->IsRepeatable(head);
}

bool NodeLogic::IsReady() const {
  return m_node->IsReady();
}

std::string NodeLogic::StatusJson(TimePoint now) const {
  return m_node->StatusJson(now);
}

PeerTraffic* NodeLogic::traffic() {
  return &m_node->traffic();
}

std::string NodeLogic::MetricsText(TimePoint now) const {
  return m_node->MetricsText(now);
}

WorkspaceReport NodeLogic::WorkspaceSnapshot(TimePoint now) const {
  return m_node->WorkspaceSnapshot(now);
}

BurnReport NodeLogic::BurnSnapshot(TimePoint now) {
  return m_node->BurnSnapshot(now);
}

std::vector<Endpoint> NodeLogic::PeerStreams() const {
  return m_node->PeerStreams();
}

}  // namespace bulrushmount
