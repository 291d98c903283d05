// A small HTTP/1.1 server for the test programs of this folder. Its handlers
// may answer late, in parts or not at all.

#ifndef BULRUSHMOUNT_STAND_INS_HTTP_SERVER_H_
#define BULRUSHMOUNT_STAND_INS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/common/endpoint.h"

namespace bulrushmount {

using ServerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

struct ResponseHeader {
  std::string name;
  std::string value;
};

struct ServerResponse {
  unsigned status = 200;
  std::vector<ResponseHeader> headers;
  std::string body;
};

namespace detail {
class ServerSession;
}  // namespace detail

// One request and the means to answer it: either `Respond`; or `Begin`, any
// number of `Write` calls, each after the callback of the previous one, and
// `End`; or `Abort`. If none of them is called, the connection stays open
// without an answer.
class ServerExchange {
 public:
  // `is_written` is false if the write failed because the caller has closed the
  // connection.
  using WrittenCallback = std::function<void(bool is_written)>;

  ServerExchange(std::shared_ptr<detail::ServerSession> session,
                 ServerRequest request)
      : m_session(std::move(session)), m_request(std::move(request)) {}

  const ServerRequest& request() const { return m_request; }
  std::string_view path() const;
  // Empty if the header is missing.
  std::string_view Header(std::string_view name) const;

  void Respond(ServerResponse response);
  // Uses chunked encoding if no length is given. `head.body` is ignored.
  void Begin(const ServerResponse& head,
             std::optional<std::uint64_t> content_length);
  void Write(const std::string& piece, WrittenCallback callback);
  void End();
  // Calls `callback` at most once, if the caller closes the connection before
  // this request is answered.
  void OnClosed(std::function<void()> callback);
  // Closes the connection without an answer or in the middle of one.
  void Abort();

 private:
  std::shared_ptr<detail::ServerSession> m_session;
  ServerRequest m_request;
};

// Listens on one address and passes each request to the handler.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;
  // Gets a request without its body. Returns whether it answers the request
  // itself; then the body is not read.
  using HeadHandler = std::function<bool(std::shared_ptr<ServerExchange>)>;

  // Throws boost::system::system_error if it cannot listen. Port 0 selects a
  // free port.
  HttpServer(boost::asio::io_context& io,
             const Endpoint& listen,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void SetHeadHandler(HeadHandler handler) {
    m_head_handler = std::move(handler);
  }

  Endpoint endpoint() const;
  std::size_t connection_count() const { return m_sessions.size(); }

  // Stops listening and closes idle connections. The others close after their
  // current request.
  void Drain();
  // Closes all connections at once.
  void CloseAll();

 private:
  friend class detail::ServerSession;

  void Accept();

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Handler m_handler;
  // May be empty.
  HeadHandler m_head_handler;
  // Open sessions; each removes itself when it closes.
  std::set<std::shared_ptr<detail::ServerSession>> m_sessions;
  bool m_is_draining = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_HTTP_SERVER_H_
