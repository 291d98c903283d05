// The gossip address: a UDP socket that carries whole datagrams.

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

  // Port 0 takes a free one. False if the address cannot be had.
  bool Open(const Endpoint& endpoint);
  Endpoint endpoint() const;

  // Dropped when the socket's buffer is full: senders bear losses anyway, and
  // waiting would hold up the calls.
  void Send(const Endpoint& to, const std::string& bytes);

  void Close();

 private:
  // A longer one is not ours; one byte more shows that it is longer.
  static constexpr std::size_t kMaxDatagram = kMaxDatagramPayload + 1;

  void Receive();

  boost::asio::ip::udp::socket m_socket;
  EventSink& m_events;
  boost::asio::ip::udp::endpoint m_from;
  std::array<char, kMaxDatagram + 1> m_received;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_DATAGRAM_SOCKET_H_
