// Interface through which decision modules send small control messages to other
// nodes over UDP.

#ifndef BULRUSHMOUNT_CORE_COMMON_DATAGRAM_H_
#define BULRUSHMOUNT_CORE_COMMON_DATAGRAM_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/common/endpoint.h"

namespace bulrushmount {

// The first byte of each datagram. The values are sent on the wire: append new
// ones, never renumber. A node ignores unknown kinds, so different releases
// interoperate.
enum class DatagramKind : std::uint8_t {
  kGossip = 1,
  kLimits = 2,
  kQuarantine = 3,
  kConfig = 4,
  kWorkspaceLimits = 5,
};

// With the byte of the kind, a datagram is at most 1,200 bytes and so fits any
// network path without fragmentation.
inline constexpr std::size_t kMaxDatagramPayload = 1199;

// Datagrams may be lost, duplicated or reordered; every module must handle all
// three.
class DatagramPort {
 public:
  virtual ~DatagramPort() = default;

  // `payload` is the module's own Protobuf message, at most
  // kMaxDatagramPayload bytes. `to` is a gossip endpoint.
  virtual void Send(const Endpoint& to,
                    DatagramKind kind,
                    std::string payload) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_DATAGRAM_H_
