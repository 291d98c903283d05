// A TCP relay between two processes that can cut, stall or slow their link.

#ifndef BULRUSHMOUNT_STAND_INS_TCP_FAULT_RELAY_H_
#define BULRUSHMOUNT_STAND_INS_TCP_FAULT_RELAY_H_

#include <chrono>
#include <memory>

#include "core/common/endpoint.h"

namespace bulrushmount {

enum class LinkState : unsigned char {
  kOpen,
  // Open connections are reset and new ones are closed at once.
  kCut,
  // Connections stay open and new ones are accepted, but no byte is relayed, as
  // if all packets were lost.
  kStalled,
  // As kStalled, but only in the direction from server to client.
  kStalledFromServer,
  // Each read is relayed `TcpFaultRelay::kDelay` late.
  kSlow,
};

namespace detail {
class RelayLoop;
}  // namespace detail

// Relays connections on a thread of its own.
class TcpFaultRelay {
 public:
  // Throws boost::system::system_error if it cannot listen.
  TcpFaultRelay(const Endpoint& listen, const Endpoint& server);
  ~TcpFaultRelay();

  TcpFaultRelay(const TcpFaultRelay&) = delete;
  TcpFaultRelay& operator=(const TcpFaultRelay&) = delete;

  // Delay of each read in kSlow.
  static constexpr std::chrono::milliseconds kDelay{120};

  // Returns when the state is in force. Bytes held by a stall are relayed when
  // it ends.
  void Set(LinkState state);

 private:
  std::unique_ptr<detail::RelayLoop> m_loop;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_TCP_FAULT_RELAY_H_
