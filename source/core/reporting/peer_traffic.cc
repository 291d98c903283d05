// Part of `peer_traffic.h`.

#include "core/reporting/peer_traffic.h"

namespace bulrushmount {

std::string_view ToToken(TrafficCause cause) {
  switch (cause) {
    case TrafficCause::kRequest:
      return "request";
    case TrafficCause::kAnswer:
      return "answer";
    case TrafficCause::kRefusedAttempt:
      return "refused-attempt";
    case TrafficCause::kMembership:
      return "membership";
    case TrafficCause::kConfiguration:
      return "configuration";
    case TrafficCause::kLimits:
      return "limits";
    case TrafficCause::kOther:
      return "other";
  }
  return "other";
}

std::string_view ToToken(ZoneDistance distance) {
  switch (distance) {
    case ZoneDistance::kSameZone:
      return "same-zone";
    case ZoneDistance::kSameRegion:
      return "other-zone";
    case ZoneDistance::kOtherRegion:
      return "other-region";
  }
  return "same-zone";
}

TrafficCause CauseOf(DatagramKind kind) {
  switch (kind) {
    case DatagramKind::kGossip:
      return TrafficCause::kMembership;
    case DatagramKind::kLimits:
      return TrafficCause::kLimits;
    case DatagramKind::kConfig:
      return TrafficCause::kConfiguration;
    default:
      return TrafficCause::kOther;
  }
}

void PeerTraffic::SetPeer(NodeId node,
                          const Endpoint& stream,
                          const Endpoint& gossip,
                          ZoneDistance distance) {
  m_by_node[node] = distance;
  m_by_endpoint[stream] = {node, distance};
  m_by_endpoint[gossip] = {node, distance};
}

void PeerTraffic::RemovePeer(NodeId node,
                             const Endpoint& stream,
                             const Endpoint& gossip) {
  m_by_node.erase(node);
  for (const Endpoint& endpoint : {stream, gossip}) {
    const auto found = m_by_endpoint.find(endpoint);
    if (found != m_by_endpoint.end() && found->second.first == node)
      m_by_endpoint.erase(found);
  }
}

ZoneDistance PeerTraffic::DistanceOf(NodeId node) const {
  const auto found = m_by_node.find(node);
  return found == m_by_node.end() ? ZoneDistance::kSameZone : found->second;
}

ZoneDistance PeerTraffic::DistanceOf(const Endpoint& endpoint) const {
  const auto found = m_by_endpoint.find(endpoint);
  return found == m_by_endpoint.end() ? ZoneDistance::kSameZone
                                      : found->second.second;
}

}  // namespace bulrushmount
