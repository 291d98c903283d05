// Part of `caller_connection.h`: reads requests, and ends the connection. How
// answers go out is in caller_answers.cc.

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
                                   const CallerDialect& dialect,
                                   std::shared_ptr<ReadAheadBudget> read_ahead)
    : m_socket(std::make_shared<tcp::socket>(std::move(socket))),
      m_buffer(std::make_shared<boost::beast::flat_buffer>(kBufferLimit)),
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
  ReadOn();
}

void CallerConnection::StartRefused() {
  Refuse(Reason::kOverloaded);
}

void CallerConnection::Drain() {
  m_is_last = true;
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

void CallerConnection::ReadOn() {
  while (!m_is_closed && MayTakeNext() && TakeHead()) {
  }
  if (m_is_closed) {
    return;
  }
  LimitSilence();
  AwaitBytes();
}

bool CallerConnection::MayTakeNext() const {
  if (m_is_lingering) {
    return false;
  }
  if (m_exchanges.empty()) {
    return true;
  }
  const Exchange& newest = *m_exchanges.back();
  // While an answer is on its way to the caller, how long that takes is up to
  // the caller: what it does not read may not fill this node.
  const bool is_streaming =
      m_exchanges.front()->m_answer_state == Exchange::AnswerState::kStreaming;
  return !m_is_last && newest.m_is_handed_in && !newest.HasUnreadBody() &&
         !is_streaming && m_exchanges.size() < m_limits->max_pipelined &&
         m_read_ahead->has_room();
}

bool CallerConnection::TakeHead() {
  const auto* const bytes = static_cast<const char*>(m_buffer->data().data());
  std::string_view text(bytes, m_buffer->size());
  // Old callers send an empty line after a body; RFC 9112 has it ignored.
  while (text.starts_with("\r\n")) {
    text.remove_prefix(2);
    m_buffer->consume(2);
    m_searched = 0;
  }
  const std::size_t length = HeadLength(text, m_searched);
  if (length > 0) {
    m_searched = 0;
    BeginExchange(text.substr(0, length));
    return true;
  }
  m_searched = text.size();
  if (text.size() > m_limits->max_head) {
    Refuse(Reason::kHeadTooLarge);
    return true;
  }
  return false;
}

void CallerConnection::AwaitBytes() {
  const bool is_body_next =
      !m_exchanges.empty() && m_exchanges.back()->HasUnreadBody();
  const bool is_full = m_buffer->size() + kHeadRead > kBufferLimit;
  if (m_is_awaiting || m_is_lingering || m_has_caller_ended || is_body_next ||
      is_full) {
    return;
  }
  m_is_awaiting = true;
  m_socket->async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_is_awaiting = false;
        self->OnReadable(error);
      });
}

void CallerConnection::OnReadable(const boost::system::error_code& error) {
  const bool is_body_next =
      !m_exchanges.empty() && m_exchanges.back()->HasUnreadBody();
  // The bytes are the body's: whoever takes that reads on here afterwards.
  if (m_is_closed || m_is_lingering || is_body_next) {
    return;
  }
  boost::system::error_code failure = error;
  std::size_t size = 0;
  if (!failure) {
    size = m_socket->read_some(m_buffer->prepare(kHeadRead), failure);
  }
  if (failure == asio::error::would_block) {
    AwaitBytes();
    return;
  }
  if (failure) {
    OnCallerEnded(failure);
    return;
  }
  m_buffer->commit(size);
  // Once only: each empty line would else begin the time anew.
  if (m_exchanges.empty() && !std::exchange(m_is_head_begun, true)) {
    Limit(m_limits->head_time);
  }
  ReadOn();
}

void CallerConnection::OnCallerEnded(const boost::system::error_code& error) {
  if (m_exchanges.empty()) {
    Close();
    return;
  }
  // Symptom without this: a call whose caller got every byte counts as unknown.
  // The last byte of the length tells a caller that its answer is whole, and it
  // may close before the source tells of its end here.
  const Exchange& front = *m_exchanges.front();
  const bool has_whole_answer =
      m_exchanges.size() == 1 &&
      front.m_answer_state == Exchange::AnswerState::kStreaming &&
      m_writer->is_length_reached();
  if (error == asio::error::eof && has_whole_answer) {
    m_is_last = true;
    m_has_caller_ended = true;
    return;
  }
  OnCallerDisconnected();
}

void CallerConnection::BeginExchange(std::string_view text) {
  Unlimit();
  const Reason fault = CheckRequestHead(text, m_limits->max_head);
  if (fault != Reason::kNone) {
    Refuse(fault);
    return;
  }
  const auto reader = std::make_shared<Http1Reader<true>>(m_socket, m_buffer);
  auto& parser = reader->parser();
  parser.header_limit(static_cast<std::uint32_t>(kBufferLimit));
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
  m_is_last = m_is_last || !parser.keep_alive();
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
  if (!IsSoundRequestId(head.request_id.value())) {
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

// Where the caller has to send the rest of the oldest request, its time is
// limited; the rest of a later one may wait until the caller has an answer.
void CallerConnection::PrepareFront() {
  Exchange& front = *m_exchanges.front();
  if (front.m_is_prefix_read) {
    return;
  }
  Limit(kPrefixTime);
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
          std::max(m_limits->max_buffered_body, kBufferedBody);
  if (!exchange->m_is_prefix_read) {
    ReadPrefix(exchange);
    return;
  }
  HandInIfDue();
  ReadOn();
}

void CallerConnection::HandInIfDue() {
  const ExchangePtr newest = m_exchanges.back();
  const bool is_ready = newest->m_is_prefix_read && !newest->m_is_handed_in &&
                        newest->m_answer_state == Exchange::AnswerState::kNone;
  if (!is_ready) {
    return;
  }
  if (!IsFront(*newest)) {
    // What goes wrong otherwise: an answer before this one closes the
    // connection, the caller sends again what it sent behind that, and what
    // was started here runs twice.
    if (!newest->m_is_complete || !m_acceptor.IsRepeatable(newest->m_head)) {
      return;
    }
    newest->m_ahead_slot = m_read_ahead->Take();
    if (!newest->m_ahead_slot) {
      return;
    }
  }
  HandIn(newest);
}

void CallerConnection::HandIn(const ExchangePtr& exchange) {
  Unlimit();
  CallHead& head = exchange->m_head;
  head.is_body_buffered = exchange->m_is_complete;
  head.fingerprint = FingerprintOf(
      head, std::string_view(exchange->m_prefix).substr(0, kBufferedBody));
  exchange->m_is_handed_in = true;
  m_acceptor.OnCall(exchange);
}

// --- Ending -----------------------------------------------------------------

void CallerConnection::Refuse(Reason reason) {
  m_is_last = true;
  if (m_exchanges.empty() || m_exchanges.back()->m_is_handed_in) {
    m_exchanges.push_back(std::make_shared<Exchange>(shared_from_this()));
  }
  const ExchangePtr exchange = m_exchanges.back();
  exchange->m_reader = nullptr;
  const RequestId request_id = exchange->m_head.request_id;
  LogLine(LogLevel::kInfo, "caller.refused")
      .Add("reason", TraitsOf(reason).token)
      .Add("request_id", request_id);
  exchange->Answer(m_dialect.MakeOwnAnswer(OwnAnswer{Outcome::kNotRun, reason,
                                                     std::nullopt, request_id}),
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
    if (exchange->m_is_handed_in && exchange.get() != broken) {
      m_acceptor.OnCallerDisconnected(*exchange);
    }
  }
}

void CallerConnection::CloseSoftly() {
  boost::system::error_code ignored;
  m_socket->shutdown(tcp::socket::shutdown_send, ignored);
  m_buffer->clear();
  m_is_lingering = true;
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

void CallerConnection::LimitSilence() {
  if (!m_exchanges.empty() || m_is_lingering || m_is_silence_limited) {
    return;
  }
  m_is_silence_limited = true;
  m_is_head_begun = m_buffer->size() > 0;
  Limit(m_is_head_begun ? m_limits->head_time : m_limits->idle_time);
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
  m_is_silence_limited = false;
  m_is_head_begun = false;
  // Also tells a handler that is on its way already not to close.
  m_timer.expires_at(TimePoint::max());
}

}  // namespace bulrushmount::detail
