// A request from a node's own entry to itself as the owner: the two ends of a
// node stream joined in memory.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

// Gives the owner's end to `acceptor` after it has returned the entry's.
// `listener` must outlive the stream or cancel it.
std::shared_ptr<AttemptStream> OpenLocalStream(
    const boost::asio::any_io_executor& executor,
    const WorkRequest& request,
    WorkAcceptor& acceptor,
    AttemptListener* listener);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_
