// Part of `idle_sockets.h`.

#include "core/store/idle_sockets.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace bulrushmount {

namespace {

bool IsStillOpen(IdleSockets::Socket& socket) {
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1),
                 IdleSockets::Socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace

void IdleSockets::Add(std::unique_ptr<Socket> socket) {
  m_sockets.push_back(std::move(socket));
}

std::unique_ptr<IdleSockets::Socket> IdleSockets::Take() {
  while (!m_sockets.empty()) {
    std::unique_ptr<Socket> socket = std::move(m_sockets.back());
    m_sockets.pop_back();
    if (IsStillOpen(*socket))
      return socket;
  }
  return nullptr;
}

}  // namespace bulrushmount
