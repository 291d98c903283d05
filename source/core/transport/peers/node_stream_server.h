// The owner's side of node streams: accepts the connections of other nodes.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_SERVER_H_

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/common/endpoint.h"
#include "core/reporting/peer_traffic.h"
#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

class NodeServerSession;

class NodeStreamServer {
 public:
  // `acceptor` must outlive the server.
  NodeStreamServer(boost::asio::io_context& context, WorkAcceptor& acceptor);
  ~NodeStreamServer();

  NodeStreamServer(const NodeStreamServer&) = delete;
  NodeStreamServer& operator=(const NodeStreamServer&) = delete;

  // Port 0 selects a free port. False if the address cannot be opened.
  bool Listen(const Endpoint& endpoint);
  Endpoint endpoint() const;

  // Sends GOAWAY to all peers. Streams opened from now on are refused as not
  // processed; streams in progress continue.
  void Drain();

  // Counts the bytes of sessions that are accepted from now on. `traffic` must
  // outlive them.
  void CountTo(PeerTraffic* traffic) { m_traffic = traffic; }

  // Whether all streams have ended and all bytes are written to the sockets.
  bool IsIdle() const;

  void Close();

 private:
  void Accept();

  WorkAcceptor& m_acceptor;
  PeerTraffic* m_traffic = nullptr;
  boost::asio::ip::tcp::acceptor m_listener;
  std::vector<std::weak_ptr<NodeServerSession>> m_sessions;
  bool m_is_draining = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_SERVER_H_
