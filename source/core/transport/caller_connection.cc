// Part of `caller_connection.h`.

#include "core/transport/caller_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>

#include "core/common/logging.h"
#include "core/transport/caller_exchange.h"

namespace bulrushmount::detail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kHeadRead = 4096;

constexpr auto kPrefixTime = std::chrono::seconds(30);

// Closing at once with bytes unread would reset the connection, and the reset
// may overtake the answer. So the rest is read for this long.
constexpr auto kLingerTime = std::chrono::seconds(1);

constexpr std::size_t kMaxRequestId = 128;

// What is read beyond a head belongs to its body or to the next request.
constexpr std::size_t kBufferLimit = 2 * kLargestHead + kReadSize;

// The length of a head with its blank line, or 0 if the end is not yet here. A
// bare line feed ends it too: it is a fault, but one to be told at once.
std::size_t HeadLength(std::string_view text, std::size_t from) {
  const std::size_t start = from < 3 ? 0 : from - 3;
  const std::size_t sound = text.find("\n\r\n", start);
  const std::size_t bare = text.find("\n\n", start);
  if (sound == std::string_view::npos && bare == std::string_view::npos) {
    return 0;
  }
  return sound < bare ? sound + 3 : bare + 2;
}

bool IsSoundRequestId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxRequestId &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   CallAcceptor& acceptor,
                                   RandomSource& random,
                                   std::shared_ptr<const CallerLimits> limits,
                                   const CallerDialect& dialect)
    : m_socket(std::make_shared<tcp::socket>(std::move(socket))),
      m_buffer(std::make_shared<boost::beast::flat_buffer>(kBufferLimit)),
      m_writer(std::make_shared<Http1Writer>(m_socket)),
      m_acceptor(acceptor),
      m_random(random),
      m_limits(std::move(limits)),
      m_dialect(dialect),
      m_timer(m_socket->get_executor()) {}

void CallerConnection::Start() {
  boost::system::error_code ignored;
  m_socket->set_option(tcp::no_delay(true), ignored);
  m_socket->non_blocking(true, ignored);
  ReadHead();
}

void CallerConnection::StartRefused() {
  Refuse(Reason::kOverloaded);
}

void CallerConnection::Drain() {
  m_is_last = true;
}

void CallerConnection::Close() {
  m_is_closed = true;
  m_exchange = nullptr;
  m_timer.cancel();
  boost::system::error_code ignored;
  m_socket->close(ignored);
}

void CallerConnection::ReadHead() {
  m_searched = 0;
  if (TakeHead()) {
    return;
  }
  m_is_head_begun = m_buffer->size() > 0;
  Limit(m_is_head_begun ? m_limits->head_time : m_limits->idle_time);
  m_socket->async_read_some(
      m_buffer->prepare(kHeadRead),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->OnHeadBytes(error, size);
      });
}

void CallerConnection::OnHeadBytes(const boost::system::error_code& error,
                                   std::size_t size) {
  if (m_is_closed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  m_buffer->commit(size);
  if (TakeHead()) {
    return;
  }
  // Once only: each empty line would else begin the time anew.
  if (!std::exchange(m_is_head_begun, true)) {
    Limit(m_limits->head_time);
  }
  m_searched = m_buffer->size();
  m_socket->async_read_some(
      m_buffer->prepare(kHeadRead),
      [self = shared_from_this()](const boost::system::error_code& failure,
                                  std::size_t more) {
        self->OnHeadBytes(failure, more);
      });
}

bool CallerConnection::TakeHead() {
  auto* const bytes = static_cast<const char*>(m_buffer->data().data());
  std::string_view text(bytes, m_buffer->size());
  // Old callers send an empty line after a body; RFC 9112 has it ignored.
  while (text.starts_with("\r\n")) {
    text.remove_prefix(2);
    m_buffer->consume(2);
    m_searched = 0;
  }
  const std::size_t length = HeadLength(text, m_searched);
  if (length > 0) {
    BeginExchange(text.substr(0, length));
    return true;
  }
  if (text.size() > m_limits->max_head) {
    Refuse(Reason::kHeadTooLarge);
    return true;
  }
  return false;
}

void CallerConnection::BeginExchange(std::string_view text) {
  Unlimit();
  const Reason fault = CheckRequestHead(text, m_limits->max_head);
  if (fault != Reason::kNone) {
    Refuse(fault);
    return;
  }
  m_reader = std::make_shared<Http1Reader<true>>(m_socket, m_buffer);
  auto& parser = m_reader->parser();
  parser.header_limit(static_cast<std::uint32_t>(kBufferLimit));
  boost::system::error_code error;
  parser.put(asio::buffer(text.data(), text.size()), error);
  m_buffer->consume(text.size());
  if (error || !parser.is_header_done()) {
    Refuse(Reason::kMalformedRequest);
    return;
  }
  const auto& message = parser.get();
  m_exchange = std::make_shared<Exchange>(shared_from_this());
  CallHead& head = m_exchange->m_head;
  head.method = std::string(message.method_string());
  head.target = std::string(message.target());
  const Reason reason = m_dialect.ReadCallHead(message, head);
  if (!IsSoundRequestId(head.request_id.value())) {
    head.request_id = RequestId(fmt::format("{:016x}", m_random.NextBits()));
  }
  if (reason != Reason::kNone || head.method == "CONNECT") {
    Refuse(Reason::kMalformedRequest);
    return;
  }
  m_exchange->m_headers = m_dialect.ForwardedFields(message);
  if (parser.chunked()) {
    m_exchange->m_shape.framing = BodyFraming::kChunked;
  } else if (const auto length = parser.content_length()) {
    m_exchange->m_shape = {BodyFraming::kLength, *length};
  }
  if (m_exchange->m_shape.length > m_limits->max_body) {
    Refuse(Reason::kBodyTooLarge);
    return;
  }
  m_is_last = m_is_last || !parser.keep_alive();
  SendContinue();
  Limit(kPrefixTime);
  ReadPrefix();
}

void CallerConnection::SendContinue() {
  const auto expect = m_reader->parser().get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue") && m_buffer->size() == 0 &&
      !m_reader->is_done()) {
    m_writer->Begin("HTTP/1.1 100 Continue\r\n\r\n", {});
  }
}

void CallerConnection::ReadPrefix() {
  m_reader->Read([self = shared_from_this()](const BodyRead& read) {
    self->OnPrefix(read);
  });
}

void CallerConnection::OnPrefix(const BodyRead& read) {
  if (m_is_closed) {
    return;
  }
  if (read.status == BodyStatus::kError) {
    Refuse(Reason::kMalformedRequest);
    return;
  }
  m_exchange->m_prefix += read.data;
  m_exchange->m_is_complete = m_reader->is_done();
  if (m_exchange->m_is_complete ||
      m_exchange->m_prefix.size() >=
          std::max(m_limits->max_buffered_body, kBufferedBody)) {
    HandIn();
    return;
  }
  ReadPrefix();
}

void CallerConnection::HandIn() {
  Unlimit();
  CallHead& head = m_exchange->m_head;
  head.is_body_buffered = m_exchange->m_is_complete;
  head.fingerprint = FingerprintOf(
      head, std::string_view(m_exchange->m_prefix).substr(0, kBufferedBody));
  m_exchange->m_is_handed_in = true;
  WatchCaller();
  m_acceptor.OnCall(m_exchange);
}

void CallerConnection::WatchCaller() {
  if (m_is_watching || m_is_closed || !m_reader->is_done()) {
    return;
  }
  m_is_watching = true;
  m_socket->async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error != asio::error::operation_aborted) {
          self->OnReadable(error);
        }
      });
}

void CallerConnection::OnReadable(const boost::system::error_code& error) {
  m_is_watching = false;
  if (!m_exchange || m_is_closed) {
    return;
  }
  char byte = 0;
  boost::system::error_code failure = error;
  if (!failure) {
    m_socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                      failure);
  }
  if (failure == asio::error::would_block) {
    WatchCaller();
    return;
  }
  // Symptom without this: a call whose caller got every byte counts as unknown.
  // The last byte of the length tells a caller that its answer is whole, and it
  // may close before the source tells of its end here.
  const bool has_whole_answer =
      m_is_answer_begun && m_writer->is_length_reached();
  if (failure == asio::error::eof && has_whole_answer) {
    m_is_last = true;
    return;
  }
  // Without an error the next request is here already; its turn comes.
  if (failure) {
    OnCallerGone();
  }
}

void CallerConnection::OnCallerGone() {
  if (m_is_closed) {
    return;
  }
  const std::shared_ptr<Exchange> exchange = std::exchange(m_exchange, nullptr);
  ResetSocket(*m_socket);
  Close();
  if (exchange && exchange->m_is_handed_in) {
    m_acceptor.OnCallerGone(*exchange);
  }
}

void CallerConnection::Refuse(Reason reason) {
  m_is_last = true;
  const RequestId request_id =
      m_exchange ? m_exchange->m_head.request_id : RequestId();
  LogLine(LogLevel::kInfo, "caller.refused")
      .Add("reason", TraitsOf(reason).token)
      .Add("request_id", request_id);
  m_exchange = nullptr;
  const std::string body = MakeOutcomeBody(Outcome::kNotRun, reason);
  AnswerHead head = m_dialect.MakeOwnAnswer(
      OwnAnswer{Outcome::kNotRun, reason, std::nullopt, request_id});
  head.shape = {BodyFraming::kLength, body.size()};
  head.headers.push_back({"Connection", "close"});
  m_writer->Begin(ToText(head), head.shape);
  m_writer->Write(body, [](bool) {});
  m_writer->Finish([self = shared_from_this()](bool is_written) {
    self->OnAnswered(is_written);
  });
}

std::shared_ptr<BodySink> CallerConnection::BeginAnswer(AnswerHead head) {
  // What is left of the request would be taken for the next one.
  m_is_last = m_is_last || !m_reader->is_done();
  if (m_is_last) {
    head.headers.push_back({"Connection", "close"});
  }
  m_is_answer_begun = true;
  m_writer->Begin(ToText(head), head.shape);
  return std::make_shared<AnswerSink>(shared_from_this());
}

void CallerConnection::OnAnswered(bool is_written) {
  if (!is_written) {
    OnCallerGone();
    return;
  }
  if (m_is_closed) {
    return;
  }
  m_exchange = nullptr;
  m_is_answer_begun = false;
  if (m_is_last) {
    CloseSoftly();
    return;
  }
  if (m_is_watching) {
    m_is_watching = false;
    m_socket->cancel();
  }
  ReadHead();
}

void CallerConnection::Break() {
  m_exchange = nullptr;
  ResetSocket(*m_socket);
  Close();
}

void CallerConnection::CloseSoftly() {
  if (m_is_watching) {
    m_is_watching = false;
    m_socket->cancel();
  }
  boost::system::error_code ignored;
  m_socket->shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer->clear();
  Limit(kLingerTime);
  Linger();
}

void CallerConnection::Linger() {
  m_socket->async_read_some(
      m_buffer->prepare(kHeadRead),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) {
        if (error || self->m_is_closed) {
          self->Close();
          return;
        }
        self->Linger();
      });
}

void CallerConnection::Limit(Duration time) {
  m_timer.expires_after(time);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->m_timer.expiry() <= Now()) {
          self->Close();
        }
      });
}

void CallerConnection::Unlimit() {
  // Also tells a handler that is on its way already not to close.
  m_timer.expires_at(TimePoint::max());
}

}  // namespace bulrushmount::detail
