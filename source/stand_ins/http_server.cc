// A session serves one connection: it reads a request, passes it to the handler
// and reads the next one after the request is answered.

#include "stand_ins/http_server.h"

#include <cstddef>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace bulrushmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace detail {

// One connection of the server.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(HttpServer& server, asio::ip::tcp::socket socket)
      : m_server(&server), m_socket(std::move(socket)) {
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void ReadNext() {
    m_is_busy = false;
    m_parser.emplace();
    m_parser->body_limit(kMaxBodyBytes);
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error || self->m_server == nullptr) {
            self->Close();
            return;
          }
          if (!self->HandleHead()) {
            self->ReadBody();
          }
        });
  }

  void ReadBody() {
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error || self->m_server == nullptr) {
            self->Close();
            return;
          }
          self->HandleRequest();
        });
  }

  void SendResponse(ServerResponse response) {
    auto message = std::make_shared<http::response<http::string_body>>(
        MakeHead<http::string_body>(response));
    message->body() = std::move(response.body);
    message->prepare_payload();
    http::async_write(
        m_socket, *message,
        [self = shared_from_this(), message](error_code error, std::size_t) {
          self->FinishRequest(error);
        });
  }

  void BeginBody(const ServerResponse& head,
                 std::optional<std::uint64_t> content_length) {
    m_is_chunked = !content_length.has_value();
    auto message = MakeHead<http::empty_body>(head);
    if (content_length) {
      message.content_length(*content_length);
    } else {
      message.chunked(true);
    }
    // Sent together with the first part of the body.
    m_pending_head = SerializeHead(message);
  }

  void WritePiece(const std::string& piece,
                  ServerExchange::WrittenCallback callback) {
    std::string bytes = std::exchange(m_pending_head, {});
    if (m_is_chunked && !piece.empty()) {
      bytes += fmt::format("{:x}\r\n", piece.size());
      bytes += piece;
      bytes += "\r\n";
    } else {
      bytes += piece;
    }
    WriteBytes(std::move(bytes), std::move(callback));
  }

  void EndBody() {
    std::string bytes = std::exchange(m_pending_head, {});
    if (m_is_chunked) {
      bytes += "0\r\n\r\n";
    }
    WriteBytes(std::move(bytes), [self = shared_from_this()](bool is_written) {
      self->FinishRequest(is_written ? error_code() : asio::error::broken_pipe);
    });
  }

  void WatchClose(std::function<void()> callback) {
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this(), request = m_request_count,
                         callback = std::move(callback)](error_code error) {
                          const bool is_same = self->m_is_busy &&
                                               self->m_request_count == request;
                          if (!error && is_same && self->HasPeerClosed()) {
                            callback();
                          }
                        });
  }

  void Close() {
    error_code ignored;
    m_socket.close(ignored);
    if (m_server != nullptr) {
      std::exchange(m_server, nullptr)->m_sessions.erase(shared_from_this());
    }
  }

  void CloseIfIdle() {
    if (!m_is_busy) {
      Close();
    }
  }

 private:
  static constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{256} << 20;

  template <typename Body>
  http::response<Body> MakeHead(const ServerResponse& response) const {
    http::response<Body> head;
    head.version(11);
    head.result(response.status);
    for (const ResponseHeader& header : response.headers) {
      head.set(header.name, header.value);
    }
    head.keep_alive(ShouldKeepAlive());
    return head;
  }

  static std::string SerializeHead(http::response<http::empty_body>& message) {
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", message.result_int(),
                                   std::string(message.reason()));
    for (const auto& field : message) {
      text += fmt::format("{}: {}\r\n", std::string(field.name_string()),
                          std::string(field.value()));
    }
    return text + "\r\n";
  }

  bool ShouldKeepAlive() const {
    return m_keep_alive && m_server != nullptr && !m_server->m_is_draining;
  }

  bool HasPeerClosed() {
    error_code error;
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1),
                     asio::ip::tcp::socket::message_peek, error);
    return error.failed();
  }

  bool HandleHead() {
    if (!m_server->m_head_handler) {
      return false;
    }
    return m_server->m_head_handler(
        std::make_shared<ServerExchange>(shared_from_this(), m_parser->get()));
  }

  void HandleRequest() {
    m_is_busy = true;
    ++m_request_count;
    ServerRequest request = m_parser->release();
    m_keep_alive = request.keep_alive();
    m_server->m_handler(std::make_shared<ServerExchange>(shared_from_this(),
                                                         std::move(request)));
  }

  void FinishRequest(error_code error) {
    if (error || !ShouldKeepAlive()) {
      Close();
      return;
    }
    ReadNext();
  }

  void WriteBytes(std::string bytes, ServerExchange::WrittenCallback callback) {
    auto buffer = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        m_socket, asio::buffer(*buffer),
        [self = shared_from_this(), buffer, callback = std::move(callback)](
            error_code error, std::size_t) { callback(!error); });
  }

  // Null once the session is closed or the server is destroyed.
  HttpServer* m_server;
  asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::string m_pending_head;
  std::uint64_t m_request_count = 0;
  bool m_is_busy = false;
  bool m_keep_alive = true;
  bool m_is_chunked = false;
};

}  // namespace detail

std::string_view ServerExchange::path() const {
  const auto target = m_request.target();
  return {target.data(), target.size()};
}

std::string_view ServerExchange::Header(std::string_view name) const {
  const auto value = m_request[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

void ServerExchange::Respond(ServerResponse response) {
  m_session->SendResponse(std::move(response));
}

void ServerExchange::Begin(const ServerResponse& head,
                           std::optional<std::uint64_t> content_length) {
  m_session->BeginBody(head, content_length);
}

void ServerExchange::Write(const std::string& piece, WrittenCallback callback) {
  m_session->WritePiece(piece, std::move(callback));
}

void ServerExchange::End() {
  m_session->EndBody();
}

void ServerExchange::OnClosed(std::function<void()> callback) {
  m_session->WatchClose(std::move(callback));
}

void ServerExchange::Abort() {
  m_session->Close();
}

HttpServer::HttpServer(asio::io_context& io,
                       const Endpoint& listen,
                       Handler handler)
    : m_io(io),
      m_acceptor(io, {asio::ip::make_address(listen.ip), listen.port}),
      m_handler(std::move(handler)) {
  Accept();
}

HttpServer::~HttpServer() {
  CloseAll();
}

Endpoint HttpServer::endpoint() const {
  const auto local = m_acceptor.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void HttpServer::Accept() {
  m_acceptor.async_accept(
      [this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          auto session =
              std::make_shared<detail::ServerSession>(*this, std::move(socket));
          m_sessions.insert(session);
          session->ReadNext();
        }
        Accept();
      });
}

void HttpServer::Drain() {
  m_is_draining = true;
  error_code ignored;
  m_acceptor.close(ignored);
  const auto sessions = m_sessions;
  for (const auto& session : sessions) {
    session->CloseIfIdle();
  }
}

void HttpServer::CloseAll() {
  error_code ignored;
  m_acceptor.close(ignored);
  const auto sessions = m_sessions;
  for (const auto& session : sessions) {
    session->Close();
  }
}

}  // namespace bulrushmount
