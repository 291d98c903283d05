// An HTTP/1.1 client with a few keep-alive connections to one server. It
// distinguishes requests that were certainly not sent from those that may have
// arrived.

#ifndef BULRUSHMOUNT_CORE_STORE_HTTP_CLIENT_H_
#define BULRUSHMOUNT_CORE_STORE_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/common/endpoint.h"
#include "core/common/time.h"

namespace bulrushmount {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

enum class HttpDelivery : std::uint8_t {
  // A complete response was received.
  kAnswered,
  // No byte of the request was sent: it certainly had no effect.
  kNotSent,
  // At least one byte may have been sent, and no complete response was
  // received.
  kUnknown,
};

struct HttpReply {
  HttpDelivery delivery = HttpDelivery::kUnknown;
  // Only set with kAnswered.
  unsigned status = 0;
  boost::beast::http::fields fields;
  std::string body;
};

struct HttpClientSettings {
  Endpoint server;
  // The local address of connections; chosen by the kernel if empty.
  std::string local_ip;
  // Time from `Send` to the complete response, including the wait for a
  // connection.
  Duration timeout = std::chrono::seconds(1);
  std::size_t max_connections = 4;
  std::size_t max_reply_bytes = std::size_t{16} << 20;
};

namespace detail {
class HttpConnectionPool;
}  // namespace detail

class HttpClient {
 public:
  using Callback = std::function<void(HttpReply reply)>;

  HttpClient(boost::asio::io_context& io, HttpClientSettings settings);
  // Pending callbacks are dropped without being called.
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Calls `callback` exactly once, from a handler of the io_context and never
  // before returning. Never sends a request twice.
  void Send(HttpRequest request, Callback callback);
  // Uses `timeout` instead of the one in the settings.
  void Send(HttpRequest request, Duration timeout, Callback callback);

 private:
  std::shared_ptr<detail::HttpConnectionPool> m_pool;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_HTTP_CLIENT_H_
