// Each connection has two pumps, one for each direction. A stalled pump keeps
// the bytes that it has read and stops reading.

#include "stand_ins/tcp_fault_relay.h"

#include <array>
#include <cstddef>
#include <future>
#include <memory>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace bulrushmount {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace detail {
namespace {

// Copies bytes in one direction of a connection.
struct Pump {
  Pump(Socket& source, Socket& sink, bool from_server, asio::io_context& io)
      : from(&source), to(&sink), is_from_server(from_server), delay(io) {}

  Socket* from;
  Socket* to;
  std::array<char, 16384> bytes{};
  std::size_t length = 0;
  // Whether `bytes` holds data that waits for the link to open.
  bool holds_bytes = false;
  bool is_from_server;
  asio::steady_timer delay;
};

}  // namespace

// One relayed connection: the client's socket and the one to the server.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
 public:
  RelayConnection(Socket client, asio::io_context& io, const LinkState& state)
      : m_client(std::move(client)),
        m_server(io),
        m_state(state),
        m_client_to_server(m_client, m_server, false, io),
        m_server_to_client(m_server, m_client, true, io) {}

  void Start(const Endpoint& server) {
    m_server.async_connect({asio::ip::make_address(server.ip), server.port},
                           [self = shared_from_this()](error_code error) {
                             if (error) {
                               self->Reset();
                               return;
                             }
                             self->Read(self->m_client_to_server);
                             self->Read(self->m_server_to_client);
                           });
  }

  // Writes the bytes held by pumps that are no longer stalled.
  void Resume() {
    for (Pump* const pump : {&m_client_to_server, &m_server_to_client}) {
      if (!IsStalled(*pump) && std::exchange(pump->holds_bytes, false)) {
        Write(*pump);
      }
    }
  }

  // Closes both sockets with a TCP reset, so that neither side reads a regular
  // end of stream.
  void Reset() {
    error_code ignored;
    for (Socket* const socket : {&m_client, &m_server}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  void Read(Pump& pump) {
    pump.from->async_read_some(asio::buffer(pump.bytes),
                               [self = shared_from_this(), &pump](
                                   error_code error, std::size_t length) {
                                 pump.length = length;
                                 self->HandleRead(pump, error);
                               });
  }

  void HandleRead(Pump& pump, error_code error) {
    if (error == asio::error::eof) {
      error_code ignored;
      pump.to->shutdown(Socket::shutdown_send, ignored);
      return;
    }
    if (error) {
      Reset();
      return;
    }
    if (IsStalled(pump)) {
      pump.holds_bytes = true;
    } else if (m_state == LinkState::kSlow) {
      pump.delay.expires_after(TcpFaultRelay::kDelay);
      pump.delay.async_wait([self = shared_from_this(),
                             &pump](const error_code&) { self->Write(pump); });
    } else {
      Write(pump);
    }
  }

  bool IsStalled(const Pump& pump) const {
    return m_state == LinkState::kStalled ||
           (m_state == LinkState::kStalledFromServer && pump.is_from_server);
  }

  void Write(Pump& pump) {
    asio::async_write(
        *pump.to, asio::buffer(pump.bytes.data(), pump.length),
        [self = shared_from_this(), &pump](error_code error, std::size_t) {
          if (error) {
            self->Reset();
            return;
          }
          self->Read(pump);
        });
  }

  Socket m_client;
  Socket m_server;
  const LinkState& m_state;
  Pump m_client_to_server;
  Pump m_server_to_client;
};

// Accepts connections and runs the event loop on its own thread.
class RelayLoop {
 public:
  RelayLoop(const Endpoint& listen, Endpoint server)
      : m_server(std::move(server)),
        m_acceptor(m_io, {asio::ip::make_address(listen.ip), listen.port}) {
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~RelayLoop() {
    m_io.stop();
    m_thread.join();
  }

  RelayLoop(const RelayLoop&) = delete;
  RelayLoop& operator=(const RelayLoop&) = delete;

  void Set(LinkState state) {
    std::promise<void> done;
    asio::post(m_io, [&] {
      Apply(state);
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  void Apply(LinkState state) {
    m_state = state;
    for (const auto& weak : m_connections) {
      const auto connection = weak.lock();
      if (!connection) {
        continue;
      }
      if (state == LinkState::kCut) {
        connection->Reset();
      } else {
        connection->Resume();
      }
    }
  }

  void Accept() {
    m_acceptor.async_accept([this](error_code error, Socket socket) {
      if (error) {
        return;
      }
      if (m_state != LinkState::kCut) {
        auto connection =
            std::make_shared<RelayConnection>(std::move(socket), m_io, m_state);
        m_connections.insert(connection);
        connection->Start(m_server);
      }
      Accept();
    });
  }

  asio::io_context m_io;
  Endpoint m_server;
  LinkState m_state = LinkState::kOpen;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::weak_ptr<RelayConnection>,
           std::owner_less<std::weak_ptr<RelayConnection>>>
      m_connections;
  std::thread m_thread;
};

}  // namespace detail

TcpFaultRelay::TcpFaultRelay(const Endpoint& listen, const Endpoint& server)
    : m_loop(std::make_unique<detail::RelayLoop>(listen, server)) {}

TcpFaultRelay::~TcpFaultRelay() = default;

void TcpFaultRelay::Set(LinkState state) {
  m_loop->Set(state);
}

}  // namespace bulrushmount
