// Connections kept open between requests, for clients that use one again.

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
  // The socket added last of those still open, null if there is none. A server
  // closes an idle connection when it restarts or tires of it. Written to such
  // a connection, a request would be lost with bytes sent, and so be "unknown"
  // for no need. A peek sees a close that has arrived already.
  std::unique_ptr<Socket> Take();
  void Clear() { m_sockets.clear(); }

 private:
  std::vector<std::unique_ptr<Socket>> m_sockets;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_IDLE_SOCKETS_H_
