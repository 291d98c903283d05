// Part of `caller_connection.h`: reads requests and ends the connection.
// Answers are sent in caller_answers.cc.

#include "core/transport/callers/caller_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>

#include "core/common/logging.h"
#include "core/transport/callers/caller_exchange.h"

namespace bulrushmount::detail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kHeadReadBytes = 4096;

constexpr auto kBodyPrefixTimeout = std::chrono::seconds(30);

// Closing a socket with unread input resets the connection, and the reset may
// overtake the answer. So further input is read and discarded for this long.
constexpr auto kLingerTimeout = std::chrono::seconds(1);

constexpr std::size_t kMaxRequestIdBytes = 128;

// The largest head allowed, plus room for input after it: its body or the next
// requests.
constexpr std::size_t kReadBufferBytes = 2 * kMaxHeadLimitBytes + kMaxReadBytes;

// The length of a head including its blank line, or 0 if it is incomplete. Also
// accepts bare line feeds as its end, so that such a malformed head is rejected
// at once instead of at a timeout.
std::size_t HeadLength(std::string_view text, std::size_t from) {
  const std::size_t start = from < 3 ? 0 : from - 3;
  const std::size_t crlf = text.find("\n\r\n", start);
  const std::size_t lf = text.find("\n\n", start);
  if (crlf == std::string_view::npos && lf == std::string_view::npos) {
    return 0;
  }
  return crlf < lf ? crlf + 3 : lf + 2;
}

bool IsValidRequestId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxRequestIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   CallAcceptor& acceptor,
                                   RandomSource& random,
                                   std::shared_ptr<const CallerLimits> limits,
                                   const CallerDialect& dialect,
                                   std::shared_ptr<ReadAheadBudget> read_ahead)
    : m_socket(std::make_shared<tcp::socket>(std::move(socket))),
      m_buffer(std::make_shared<boost::beast::flat_buffer>(kReadBufferBytes)),
      m_writer(std::make_shared<Http1Writer>(m_socket)),
      m_acceptor(acceptor),
      m_random(random),
      m_limits(std::move(limits)),
      m_dialect(dialect),
      m_read_ahead(std::move(read_ahead)),
      m_timer(m_socket->get_executor()) {
  boost::system::error_code ignored;
  m_socket->set_option(tcp::no_delay(true), ignored);
  m_socket->non_blocking(true, ignored);
}

void CallerConnection::Start() {
  ProcessInput();
}

void CallerConnection::StartRefused() {
  Refuse(Reason::kOverloaded);
}

void CallerConnection::Drain() {
  m_closes_after_answers = true;
}

void CallerConnection::Close() {
  m_is_closed = true;
  for (const ExchangePtr& exchange : std::exchange(m_exchanges, {})) {
    exchange->m_is_current = false;
    exchange->DropAnswer();
  }
  m_timer.cancel();
  boost::system::error_code ignored;
  m_socket->close(ignored);
}

// --- Reading requests -------------------------------------------------------

void CallerConnection::ProcessInput() {
  while (!m_is_closed && MayReadNextRequest() && ProcessHead()) {
  }
  if (m_is_closed) {
    return;
  }
  StartIdleTimeout();
  AwaitInput();
}

bool CallerConnection::MayReadNextRequest() const {
  if (m_is_lingering) {
    return false;
  }
  if (m_exchanges.empty()) {
    return true;
  }
  const Exchange& newest = *m_exchanges.back();
  // While an answer is being sent, the caller controls how long that takes. No
  // further requests are accepted, so that a caller that does not read cannot
  // accumulate answers in this node.
  const bool is_streaming =
      m_exchanges.front()->m_answer_state == Exchange::AnswerState::kStreaming;
  return !m_closes_after_answers && newest.m_is_submitted &&
         !newest.HasUnreadBody() && !is_streaming &&
         m_exchanges.size() < m_limits->max_pipelined &&
         m_read_ahead->has_room();
}

bool CallerConnection::ProcessHead() {
  const auto* const bytes = static_cast<const char*>(m_buffer->data().data());
  std::string_view text(bytes, m_buffer->size());
  // Old callers send an empty line after a body; RFC 9112 says to ignore it.
  while (text.starts_with("\r\n")) {
    text.remove_prefix(2);
    m_buffer->consume(2);
    m_head_search_offset = 0;
  }
  const std::size_t length = HeadLength(text, m_head_search_offset);
  if (length > 0) {
    m_head_search_offset = 0;
    BeginExchange(text.substr(0, length));
    return true;
  }
  m_head_search_offset = text.size();
  if (text.size() > m_limits->max_head) {
    Refuse(Reason::kHeadTooLarge);
    return true;
  }
  return false;
}

void CallerConnection::AwaitInput() {
  const bool is_body_next =
      !m_exchanges.empty() && m_exchanges.back()->HasUnreadBody();
  const bool is_full = m_buffer->size() + kHeadReadBytes > kReadBufferBytes;
  if (m_is_awaiting_input || m_is_lingering || m_has_caller_ended ||
      is_body_next || is_full) {
    return;
  }
  m_is_awaiting_input = true;
  m_socket->async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_is_awaiting_input = false;
        self->OnReadable(error);
      });
}

void CallerConnection::OnReadable(const boost::system::error_code& error) {
  const bool is_body_next =
      !m_exchanges.empty() && m_exchanges.back()->HasUnreadBody();
  // While a request body is unread, the input belongs to it, and the code that
  // reads the body calls ProcessInput at its end.
  if (m_is_closed || m_is_lingering || is_body_next) {
    return;
  }
  boost::system::error_code failure = error;
  std::size_t size = 0;
  if (!failure) {
    size = m_socket->read_some(m_buffer->prepare(kHeadReadBytes), failure);
  }
  if (failure == asio::error::would_block) {
    AwaitInput();
    return;
  }
  if (failure) {
    OnCallerEnded(failure);
    return;
  }
  m_buffer->commit(size);
  // Only once, because otherwise each empty line would restart the timeout.
  if (m_exchanges.empty() && !std::exchange(m_has_head_started, true)) {
    StartTimeout(m_limits->head_time);
  }
  ProcessInput();
}

void CallerConnection::OnCallerEnded(const boost::system::error_code& error) {
  if (m_exchanges.empty()) {
    Close();
    return;
  }
  // Without this check, a call whose caller received every byte would be
  // counted as unknown: once a caller has the declared length it may close,
  // before the body source has reported the end to this node.
  const Exchange& front = *m_exchanges.front();
  const bool has_whole_answer =
      m_exchanges.size() == 1 &&
      front.m_answer_state == Exchange::AnswerState::kStreaming &&
      m_writer->is_length_reached();
  if (error == asio::error::eof && has_whole_answer) {
    m_closes_after_answers = true;
    m_has_caller_ended = true;
    return;
  }
  OnCallerDisconnected();
}

void CallerConnection::BeginExchange(std::string_view text) {
  CancelTimeout();
  const Reason fault = CheckRequestHead(text, m_limits->max_head);
  if (fault != Reason::kNone) {
    Refuse(fault);
    return;
  }
  const auto reader = std::make_shared<Http1Reader<true>>(m_socket, m_buffer);
  auto& parser = reader->parser();
  parser.header_limit(static_cast<std::uint32_t>(kReadBufferBytes));
  boost::system::error_code error;
  parser.put(asio::buffer(text.data(), text.size()), error);
  m_buffer->consume(text.size());
  if (error || !parser.is_header_done()) {
    Refuse(Reason::kMalformedRequest);
    return;
  }
  const auto exchange = std::make_shared<Exchange>(shared_from_this());
  m_exchanges.push_back(exchange);
  exchange->m_reader = reader;
  const Reason reason = ReadRequest(*exchange);
  if (reason != Reason::kNone) {
    Refuse(reason);
    return;
  }
  m_closes_after_answers = m_closes_after_answers || !parser.keep_alive();
  PrepareFront();
  ReadPrefix(exchange);
}

Reason CallerConnection::ReadRequest(Exchange& exchange) {
  const auto& parser = exchange.m_reader->parser();
  const auto& message = parser.get();
  CallHead& head = exchange.m_head;
  head.method = std::string(message.method_string());
  head.target = std::string(message.target());
  const Reason reason = m_dialect.ReadCallHead(message, head);
  if (!IsValidRequestId(head.request_id.value())) {
    head.request_id = RequestId(fmt::format("{:016x}", m_random.NextBits()));
  }
  if (reason != Reason::kNone || head.method == "CONNECT") {
    return Reason::kMalformedRequest;
  }
  exchange.m_headers = m_dialect.ForwardedFields(message);
  if (parser.chunked()) {
    exchange.m_shape.framing = BodyFraming::kChunked;
  } else if (const auto length = parser.content_length()) {
    exchange.m_shape = {BodyFraming::kLength, *length};
  }
  exchange.m_expects_continue =
      boost::beast::iequals(message[http::field::expect], "100-continue");
  return exchange.m_shape.length > m_limits->max_body ? Reason::kBodyTooLarge
                                                      : Reason::kNone;
}

// Limits the time in which the caller must send the rest of the oldest request.
// The rest of a later request may wait until the caller has an answer.
void CallerConnection::PrepareFront() {
  Exchange& front = *m_exchanges.front();
  if (front.m_is_prefix_read) {
    return;
  }
  StartTimeout(kBodyPrefixTimeout);
  const bool waits_for_report = front.m_expects_continue &&
                                m_buffer->size() == 0 && front.HasUnreadBody();
  if (waits_for_report) {
    front.m_expects_continue = false;
    m_writer->Begin("HTTP/1.1 100 Continue\r\n\r\n", {});
  }
}

void CallerConnection::ReadPrefix(const ExchangePtr& exchange) {
  exchange->m_reader->Read(
      [self = shared_from_this(), exchange](const BodyRead& read) {
        self->OnPrefix(exchange, read);
      });
}

void CallerConnection::OnPrefix(const ExchangePtr& exchange,
                                const BodyRead& read) {
  if (!exchange->m_is_current) {
    return;
  }
  if (read.status == BodyStatus::kError) {
    Refuse(Reason::kMalformedRequest);
    return;
  }
  exchange->m_prefix += read.data;
  exchange->m_is_complete = !exchange->HasUnreadBody();
  exchange->m_is_prefix_read =
      exchange->m_is_complete ||
      exchange->m_prefix.size() >=
          std::max(m_limits->max_buffered_body, kMinBufferedBodyBytes);
  if (!exchange->m_is_prefix_read) {
    ReadPrefix(exchange);
    return;
  }
  SubmitIfDue();
  ProcessInput();
}

void CallerConnection::SubmitIfDue() {
  const ExchangePtr newest = m_exchanges.back();
  const bool is_ready = newest->m_is_prefix_read && !newest->m_is_submitted &&
                        newest->m_answer_state == Exchange::AnswerState::kNone;
  if (!is_ready) {
    return;
  }
  if (!IsFront(*newest)) {
    // If an earlier answer closes the connection, the caller sends all later
    // requests again, and one that was already started would run twice. So only
    // complete, repeatable requests run ahead of their turn.
    if (!newest->m_is_complete || !m_acceptor.IsRepeatable(newest->m_head)) {
      return;
    }
    newest->m_ahead_slot = m_read_ahead->Take();
    if (!newest->m_ahead_slot) {
      return;
    }
  }
  SubmitCall(newest);
}

void CallerConnection::SubmitCall(const ExchangePtr& exchange) {
  CancelTimeout();
  CallHead& head = exchange->m_head;
  head.is_body_buffered = exchange->m_is_complete;
  head.fingerprint = FingerprintOf(
      head,
      std::string_view(exchange->m_prefix).substr(0, kMinBufferedBodyBytes));
  exchange->m_is_submitted = true;
  m_acceptor.OnCall(exchange);
}

// --- Ending -----------------------------------------------------------------

void CallerConnection::Refuse(Reason reason) {
  m_closes_after_answers = true;
  if (m_exchanges.empty() || m_exchanges.back()->m_is_submitted) {
    m_exchanges.push_back(std::make_shared<Exchange>(shared_from_this()));
  }
  const ExchangePtr exchange = m_exchanges.back();
  exchange->m_reader = nullptr;
  const RequestId request_id = exchange->m_head.request_id;
  LogLine(LogLevel::kInfo, "caller.refused")
      .Add("reason", TraitsOf(reason).token)
      .Add("request_id", request_id);
  exchange->Answer(m_dialect.MakeLocalAnswer(LocalAnswer{
                       Outcome::kNotRun, reason, std::nullopt, request_id}),
                   MakeOutcomeBody(Outcome::kNotRun, reason));
}

void CallerConnection::OnCallerDisconnected() {
  Abandon(nullptr);
}

void CallerConnection::Abandon(const Exchange* broken) {
  if (m_is_closed) {
    return;
  }
  const std::deque<ExchangePtr> exchanges = m_exchanges;
  ResetSocket(*m_socket);
  Close();
  for (const ExchangePtr& exchange : exchanges) {
    if (exchange->m_is_submitted && exchange.get() != broken) {
      m_acceptor.OnCallerDisconnected(*exchange);
    }
  }
}

void CallerConnection::CloseGracefully() {
  boost::system::error_code ignored;
  m_socket->shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer->clear();
  m_is_lingering = true;
  StartTimeout(kLingerTimeout);
  Linger();
}

void CallerConnection::Linger() {
  m_socket->async_read_some(
      m_buffer->prepare(kHeadReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) {
        if (error || self->m_is_closed) {
          self->Close();
          return;
        }
        self->Linger();
      });
}

void CallerConnection::StartIdleTimeout() {
  if (!m_exchanges.empty() || m_is_lingering || m_is_idle_timeout_running) {
    return;
  }
  m_is_idle_timeout_running = true;
  m_has_head_started = m_buffer->size() > 0;
  StartTimeout(m_has_head_started ? m_limits->head_time : m_limits->idle_time);
}

void CallerConnection::StartTimeout(Duration time) {
  m_timer.expires_after(time);
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->m_timer.expiry() <= Now()) {
          self->Close();
        }
      });
}

void CallerConnection::CancelTimeout() {
  m_is_idle_timeout_running = false;
  m_has_head_started = false;
  // The expiry also tells a handler that is already queued not to close.
  m_timer.expires_at(TimePoint::max());
}

}  // namespace bulrushmount::detail
