// Helpers for Asio addresses and listening sockets.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_SOCKETS_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_SOCKETS_H_

#include <functional>

#include <boost/asio/ip/tcp.hpp>

#include "core/common/endpoint.h"

namespace bulrushmount {

// Opens, binds and listens. Port 0 selects a free port. If the address cannot
// be opened, logs the error and returns false.
bool OpenListener(boost::asio::ip::tcp::acceptor& listener,
                  const Endpoint& endpoint);

// Passes each accepted connection to `take` until the listener is closed. Waits
// after an error (such as running out of file descriptors), because an
// immediate retry would fail again and keep the process in a busy loop. The
// listener and everything that `take` refers to must live until the listener
// has been closed.
void AcceptOn(
    boost::asio::ip::tcp::acceptor& listener,
    std::function<void(boost::asio::ip::tcp::socket socket)> on_accept);

// The address that the listener is bound to, with the actual port.
Endpoint LocalEndpoint(const boost::asio::ip::tcp::acceptor& listener);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_SOCKETS_H_
