// Reads the head of an HTTP/1.1 answer. All clients use it (for targets,
// probes, the store and operator pages), so that they reject the same malformed
// answers.

#ifndef BULRUSHMOUNT_CORE_COMMON_ANSWER_HEAD_READ_H_
#define BULRUSHMOUNT_CORE_COMMON_ANSWER_HEAD_READ_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace bulrushmount {

namespace detail {

// The range of valid status codes, RFC 9110, section 15.
inline constexpr unsigned kMinStatus = 100;
inline constexpr unsigned kMaxStatus = 599;

// The most that one read adds to the buffer, in bytes.
inline constexpr std::size_t kMaxHeadReadBytes = 65536;

// The composed operation of AsyncReadAnswerHead.
template <typename Stream, typename Parser>
class AnswerHeadRead {
 public:
  AnswerHeadRead(Stream& stream,
                 boost::beast::flat_buffer& buffer,
                 Parser& parser)
      : m_stream(stream), m_buffer(buffer), m_parser(parser) {}

  template <typename Self>
  void operator()(Self& self,
                  boost::system::error_code error = {},
                  std::size_t size = 0) {
    if (m_step == Step::kDone) {
      self.complete(m_error);
      return;
    }
    const bool is_first = std::exchange(m_step, Step::kRead) == Step::kBegin;
    m_buffer.commit(size);
    m_error = error == boost::asio::error::eof ? EndError() : error;
    if (!m_error && m_buffer.size() > 0)
      Parse();
    if (!m_error && !m_parser.is_header_done()) {
      Read(self);
      return;
    }
    if (!is_first) {
      self.complete(m_error);
      return;
    }
    CompleteLater(self);
  }

 private:
  enum class Step : std::uint8_t { kBegin, kRead, kDone };

  boost::system::error_code EndError() const {
    using boost::beast::http::error;
    return m_parser.got_some() ? error::partial_message : error::end_of_stream;
  }

  // The parser consumes a line only together with the lines that continue it.
  void Parse() {
    const auto input = m_buffer.data();
    const std::size_t taken = m_parser.put(input, m_error);
    if (m_error == boost::beast::http::error::need_more)
      m_error = {};
    const std::string_view lines(static_cast<const char*>(input.data()), taken);
    if (!m_error && HasFoldedLine(lines))
      m_error = boost::beast::http::error::bad_field;
    m_buffer.consume(taken);
    if (!m_error && m_parser.is_header_done())
      CheckStatus();
  }

  static bool HasFoldedLine(std::string_view lines) {
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
  }

  void CheckStatus() {
    const unsigned status = m_parser.get().result_int();
    if (status < kMinStatus || status > kMaxStatus)
      m_error = boost::beast::http::error::bad_status;
  }

  template <typename Self>
  void Read(Self& self) {
    const std::size_t size =
        boost::beast::read_size(m_buffer, kMaxHeadReadBytes);
    if (size == 0) {
      m_error = boost::beast::http::error::buffer_overflow;
      CompleteLater(self);
      return;
    }
    // Copied, because moving `self` moves this object.
    Stream& stream = m_stream;
    const auto space = m_buffer.prepare(size);
    stream.async_read_some(space, std::move(self));
  }

  // The handler must not be called before the initiating function returns.
  template <typename Self>
  void CompleteLater(Self& self) {
    m_step = Step::kDone;
    boost::asio::post(m_stream.get_executor(), std::move(self));
  }

  Stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  Parser& m_parser;
  Step m_step = Step::kBegin;
  boost::system::error_code m_error;
};

}  // namespace detail

// Reads until `parser` has the head of an answer, like Beast's
// async_read_header, and leaves the bytes after it in `buffer`. `handler` gets
// an error code; in addition to Beast's errors this is:
// - bad_status for a status code outside the valid range,
// - bad_field for a folded line (RFC 9112, section 5.2). Beast unfolds it, so a
//   length or an encoding on such a line would be ignored.
template <typename Stream, typename Parser, typename Handler>
void AsyncReadAnswerHead(Stream& stream,
                         boost::beast::flat_buffer& buffer,
                         Parser& parser,
                         Handler&& handler) {
  parser.eager(false);
  boost::asio::async_compose<Handler, void(boost::system::error_code)>(
      detail::AnswerHeadRead<Stream, Parser>(stream, buffer, parser), handler,
      stream);
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_ANSWER_HEAD_READ_H_
