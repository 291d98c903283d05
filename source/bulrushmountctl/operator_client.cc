// Implements `OperatorClient` with one connection for each request.

#include "bulrushmountctl/operator_client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/common/answer_head_read.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Limit in bytes; the burn report is the largest body.
constexpr std::uint64_t kMaxBodyBytes = 16'777'216;

// Runs the steps of one exchange in sequence. Each step is an asynchronous call
// run to completion, because only asynchronous calls of `tcp_stream` have a
// time-out.
class OperatorExchange {
 public:
  explicit OperatorExchange(Duration timeout) : m_timeout(timeout) {}

  error_code Connect(const Endpoint& node) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(node.ip),
                                           node.port);
    m_stream.expires_after(m_timeout);
    m_stream.async_connect(endpoint, [this](error_code e) { m_error = e; });
    return Run();
  }

  error_code Write(http::request<http::string_body>& request) {
    m_stream.expires_after(m_timeout);
    http::async_write(m_stream, request,
                      [this](error_code e, std::size_t) { m_error = e; });
    return Run();
  }

  error_code Read(http::response_parser<http::string_body>& parser) {
    m_stream.expires_after(m_timeout);
    AsyncReadAnswerHead(m_stream, m_buffer, parser,
                        [this](error_code e) { m_error = e; });
    if (Run())
      return m_error;
    http::async_read(m_stream, m_buffer, parser,
                     [this](error_code e, std::size_t) { m_error = e; });
    return Run();
  }

 private:
  error_code Run() {
    m_context.restart();
    m_context.run();
    return m_error;
  }

  const Duration m_timeout;
  asio::io_context m_context;
  beast::tcp_stream m_stream{m_context};
  beast::flat_buffer m_buffer;
  error_code m_error;
};

http::request<http::string_body> MakeRequest(const OperatorRequest& request,
                                             const Endpoint& node,
                                             const std::string& token) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, ToString(node));
  if (!token.empty())
    message.set(http::field::authorization, "Bearer " + token);
  if (request.if_version != kNoRow)
    message.set(http::field::if_match,
                fmt::format("\"{}\"", request.if_version));
  if (!request.body.empty())
    message.set(http::field::content_type, "application/yaml");
  message.body() = request.body;
  message.keep_alive(false);
  message.prepare_payload();
  return message;
}

// Parses an entity tag such as `"12"`; returns kNoRow for any other text.
RowVersion ParseETag(std::string_view etag) {
  if (etag.size() < 2 || etag.front() != '"' || etag.back() != '"')
    return kNoRow;
  const std::string_view digits = etag.substr(1, etag.size() - 2);
  std::uint64_t version = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return kNoRow;
  return RowVersion(version);
}

}  // namespace

OperatorClient::OperatorClient(Endpoint node,
                               std::string token,
                               Duration timeout)
    : m_node(std::move(node)), m_token(std::move(token)), m_timeout(timeout) {}

std::variant<OperatorReply, OperatorError> OperatorClient::Send(
    const OperatorRequest& request) const {
  OperatorExchange exchange(m_timeout);
  if (const error_code error = exchange.Connect(m_node))
    return OperatorError{false, error.message()};

  http::request<http::string_body> message =
      MakeRequest(request, m_node, m_token);
  if (const error_code error = exchange.Write(message))
    return OperatorError{true, error.message()};

  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (const error_code error = exchange.Read(parser))
    return OperatorError{true, error.message()};

  http::response<http::string_body> response = parser.release();
  const auto etag = response[http::field::etag];
  return OperatorReply{static_cast<int>(response.result_int()),
                       std::move(response.body()),
                       ParseETag({etag.data(), etag.size()})};
}

}  // namespace bulrushmount
