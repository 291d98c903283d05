// Counts the bytes that this node sends to other nodes, by cause and by the
// distance between availability zones. Fixed arrays of counters, so that a
// packet costs an addition and the number of series is bounded.

#ifndef BULRUSHMOUNT_CORE_REPORTING_PEER_TRAFFIC_H_
#define BULRUSHMOUNT_CORE_REPORTING_PEER_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/common/datagram.h"
#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

enum class TrafficCause : std::uint8_t {
  kRequest,
  kAnswer,
  // Request and refusal of an attempt that the owner has refused.
  kRefusedAttempt,
  kMembership,
  kConfiguration,
  kLimits,
  // Quarantine, and the frames of a session that belong to no stream.
  kOther,
};
inline constexpr std::size_t kTrafficCauses = 7;

std::string_view ToToken(TrafficCause cause);
std::string_view ToToken(ZoneDistance distance);
TrafficCause CauseOf(DatagramKind kind);

class PeerTraffic {
 public:
  void SetPeer(NodeId node,
               const Endpoint& stream,
               const Endpoint& gossip,
               ZoneDistance distance);
  void RemovePeer(NodeId node, const Endpoint& stream, const Endpoint& gossip);

  // Unknown peers count as in the same zone.
  ZoneDistance DistanceOf(NodeId node) const;
  // `endpoint` is a stream or gossip endpoint.
  ZoneDistance DistanceOf(const Endpoint& endpoint) const;

  void Add(TrafficCause cause, ZoneDistance distance, std::size_t bytes) {
    m_bytes[static_cast<std::size_t>(cause)]
           [static_cast<std::size_t>(distance)] += bytes;
  }
  std::uint64_t Bytes(TrafficCause cause, ZoneDistance distance) const {
    return m_bytes[static_cast<std::size_t>(cause)]
                  [static_cast<std::size_t>(distance)];
  }

 private:
  std::array<std::array<std::uint64_t, kZoneDistances>, kTrafficCauses>
      m_bytes{};
  std::unordered_map<NodeId, ZoneDistance> m_by_node;
  // With the node, since an address passes to another node.
  std::unordered_map<Endpoint, std::pair<NodeId, ZoneDistance>> m_by_endpoint;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_PEER_TRAFFIC_H_
