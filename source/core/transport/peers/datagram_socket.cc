// Part of `datagram_socket.h`.

#include "core/transport/peers/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/system/system_error.hpp>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

}  // namespace

bool DatagramSocket::Open(const Endpoint& endpoint) {
  try {
    const udp::endpoint local(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
    m_socket.open(local.protocol());
    m_socket.bind(local);
    m_socket.non_blocking(true);
  } catch (const boost::system::system_error& failure) {
    LogLine(LogLevel::kError, "listen.failed")
        .Add("address", ToString(endpoint))
        .Add("error", failure.code().message());
    return false;
  }
  Receive();
  return true;
}

Endpoint DatagramSocket::endpoint() const {
  boost::system::error_code error;
  const udp::endpoint local = m_socket.local_endpoint(error);
  return {local.address().to_string(), local.port()};
}

void DatagramSocket::Send(const Endpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(to.ip, error);
  if (error) {
    return;
  }
  m_socket.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0,
                   error);
}

void DatagramSocket::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void DatagramSocket::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_received), m_from,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        // An error here reports an earlier send to a port where no process
        // listened; it is ignored.
        if (!error && size > 0 && size <= kMaxDatagramBytes) {
          m_events.Emit(
              DatagramArrived{{m_from.address().to_string(), m_from.port()},
                              std::string(m_received.data(), size)});
        }
        if (m_socket.is_open()) {
          Receive();
        }
      });
}

}  // namespace bulrushmount
