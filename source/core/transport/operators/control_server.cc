// Part of `control_server.h`.

#include "core/transport/operators/control_server.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "core/transport/sockets.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 1 << 20;
constexpr auto kIdleTime = std::chrono::seconds(60);

}  // namespace

namespace detail {

class ControlConnection
    : public std::enable_shared_from_this<ControlConnection> {
 public:
  ControlConnection(tcp::socket socket, ControlHandler& handler)
      : m_stream(std::move(socket)), m_handler(handler) {}

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(kMaxBodyBytes);
    m_stream.expires_after(kIdleTime);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t) { self->OnRead(error); });
  }

  void Close() {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
  }

 private:
  void OnRead(const boost::system::error_code& error) {
    if (error) {
      Close();
      return;
    }
    m_stream.expires_never();
    boost::system::error_code ignored;
    const auto& message = m_parser->get();
    const ControlRequest request{
        std::string(message.method_string()),
        std::string(message.target()),
        message.body(),
        std::string(message[http::field::if_match]),
        std::string(message[http::field::authorization]),
        m_stream.socket().remote_endpoint(ignored).address().to_string()};
    m_handler.OnRequest(request,
                        [self = shared_from_this()](ControlReply reply) {
                          self->Write(std::move(reply));
                        });
  }

  void Write(ControlReply reply) {
    const auto& message = m_parser->get();
    m_response = {};
    m_response.version(message.version());
    m_response.result(static_cast<unsigned>(reply.status));
    m_response.set(http::field::content_type, reply.content_type);
    if (!reply.etag.empty()) {
      m_response.set(http::field::etag, reply.etag);
    }
    if (!reply.allow.empty()) {
      m_response.set(http::field::allow, reply.allow);
    }
    m_response.keep_alive(message.keep_alive());
    m_response.body() = std::move(reply.body);
    m_response.prepare_payload();
    m_stream.expires_after(kIdleTime);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        if (error || !self->m_response.keep_alive()) {
                          self->Close();
                          return;
                        }
                        self->Read();
                      });
  }

  beast::tcp_stream m_stream;
  ControlHandler& m_handler;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
};

}  // namespace detail

ControlServer::ControlServer(asio::io_context& context, ControlHandler& handler)
    : m_handler(handler), m_listener(context) {}

ControlServer::~ControlServer() {
  Close();
}

bool ControlServer::Listen(const Endpoint& endpoint) {
  if (!OpenListener(m_listener, endpoint)) {
    return false;
  }
  Accept();
  return true;
}

Endpoint ControlServer::endpoint() const {
  return LocalEndpoint(m_listener);
}

void ControlServer::Accept() {
  AcceptOn(m_listener, [this](tcp::socket socket) {
    std::erase_if(m_connections,
                  [](const auto& weak) { return weak.expired(); });
    auto connection = std::make_shared<detail::ControlConnection>(
        std::move(socket), m_handler);
    m_connections.push_back(connection);
    connection->Read();
  });
}

void ControlServer::Close() {
  boost::system::error_code ignored;
  m_listener.close(ignored);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Close();
    }
  }
}

}  // namespace bulrushmount
