// Pool of idle keep-alive connections.

#ifndef BULRUSHMOUNT_CORE_STORE_IDLE_SOCKETS_H_
#define BULRUSHMOUNT_CORE_STORE_IDLE_SOCKETS_H_

#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace bulrushmount {

class IdleSockets {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  void Add(std::unique_ptr<Socket> socket);
  // Returns the most recently added socket that is still open, null if there is
  // none. A server closes idle connections when it restarts or after its own
  // time-out. A request written to such a connection would fail after bytes
  // were sent, and so end as "unknown" needlessly. A peek detects a close that
  // has already arrived.
  std::unique_ptr<Socket> Take();
  void Clear() { m_sockets.clear(); }

 private:
  std::vector<std::unique_ptr<Socket>> m_sockets;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_IDLE_SOCKETS_H_
