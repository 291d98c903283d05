// An HTTP/1.1 client with a few keep-alive connections to one server, which
// tells apart what certainly was not sent from what may have arrived.

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
  // A whole answer came.
  kAnswered,
  // No byte of the request left: it certainly has no effect.
  kNotSent,
  // At least one byte may have left, and no whole answer came.
  kUnknown,
};

struct HttpReply {
  HttpDelivery delivery = HttpDelivery::kUnknown;
  // Only with kAnswered.
  unsigned status = 0;
  boost::beast::http::fields fields;
  std::string body;
};

struct HttpClientSettings {
  Endpoint server;
  // The address that connections come from; empty: the kernel's choice.
  std::string local_ip;
  // From `Send` to the whole answer, the wait for a connection included.
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
  // Callbacks still due are dropped without being called.
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Calls `callback` exactly once, from a handler of the io_context and never
  // before returning. Sends nothing twice.
  void Send(HttpRequest request, Callback callback);
  // With another time-out than that of the settings.
  void Send(HttpRequest request, Duration timeout, Callback callback);

 private:
  std::shared_ptr<detail::HttpConnectionPool> m_pool;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_HTTP_CLIENT_H_
