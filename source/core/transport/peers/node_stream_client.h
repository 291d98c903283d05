// The entry's side of node streams: one HTTP/2 session to each owner, opened on
// first use.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CLIENT_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CLIENT_H_

#include <memory>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/endpoint.h"
#include "core/reporting/peer_traffic.h"
#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

class NodeClientSession;

class NodeStreamClient {
 public:
  explicit NodeStreamClient(boost::asio::any_io_executor executor);
  ~NodeStreamClient();

  NodeStreamClient(const NodeStreamClient&) = delete;
  NodeStreamClient& operator=(const NodeStreamClient&) = delete;

  // Sends `request` to the owner at `endpoint`. `listener` must outlive the
  // stream or cancel it; it is never called before this returns.
  std::shared_ptr<AttemptStream> Open(const Endpoint& endpoint,
                                      const WorkRequest& request,
                                      AttemptListener* listener);

  // Counts the bytes of sessions that are opened from now on. `traffic` must
  // outlive them.
  void CountTo(PeerTraffic* traffic) { m_traffic = traffic; }

  // The number of sessions being connected or not yet known to have ended.
  std::size_t sessions() const { return m_sessions.size(); }

  // Closes all sessions.
  void Close();

 private:
  // Removes unusable sessions; otherwise they would accumulate, since nodes are
  // replaced by others at new addresses.
  void DropUnusable();

  boost::asio::any_io_executor m_executor;
  PeerTraffic* m_traffic = nullptr;
  // Sessions that accept new streams or are being connected.
  std::unordered_map<Endpoint, std::shared_ptr<NodeClientSession>> m_sessions;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CLIENT_H_
