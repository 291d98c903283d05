// The interface through which the quarantine sends an item to every node. The
// gossip of the membership carries it.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_BROADCAST_PORT_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_BROADCAST_PORT_H_

#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace bulrushmount {

class BroadcastPort {
 public:
  virtual ~BroadcastPort() = default;

  // Sends `payload` (less than 40 bytes) to all members that stay alive for
  // `lifetime`, and possibly to others. An item may be replaced on its way by a
  // later one with the same `key` from any node, because the receiver merges
  // payloads.
  virtual void Broadcast(std::uint64_t key,
                         std::string payload,
                         Duration lifetime) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_BROADCAST_PORT_H_
