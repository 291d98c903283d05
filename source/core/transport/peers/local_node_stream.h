// A request that a node, as entry, sends to itself as owner: a node stream
// whose two ends are connected in memory.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

// Returns the entry's end; passes the owner's end to `acceptor` later.
// `listener` must outlive the stream or cancel it.
std::shared_ptr<AttemptStream> OpenLocalStream(
    const boost::asio::any_io_executor& executor,
    const WorkRequest& request,
    WorkAcceptor& acceptor,
    AttemptListener* listener);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_LOCAL_NODE_STREAM_H_
