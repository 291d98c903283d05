// The UDP socket on the gossip address.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_DATAGRAM_SOCKET_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_DATAGRAM_SOCKET_H_

#include <array>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/common/datagram.h"
#include "core/common/endpoint.h"
#include "core/transport/event_sink.h"

namespace bulrushmount {

class DatagramSocket {
 public:
  // `events` must outlive the socket.
  DatagramSocket(boost::asio::io_context& context, EventSink& events)
      : m_socket(context), m_events(events) {}

  // Port 0 selects a free port. False if the address cannot be opened.
  bool Open(const Endpoint& endpoint);
  Endpoint endpoint() const;

  // Drops the datagram if the socket's buffer is full: senders must tolerate
  // losses in any case, and waiting would delay calls.
  void Send(const Endpoint& to, const std::string& bytes);

  void Close();

 private:
  // No node sends longer datagrams. The receive buffer has one byte more, so
  // that a longer one is recognized.
  static constexpr std::size_t kMaxDatagramBytes = kMaxDatagramPayload + 1;

  void Receive();

  boost::asio::ip::udp::socket m_socket;
  EventSink& m_events;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, kMaxDatagramBytes + 1> m_received;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_DATAGRAM_SOCKET_H_
