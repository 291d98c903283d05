// Part of `target_client.h`.

#include "core/transport/targets/target_client.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/common/answer_head_read.h"
#include "core/common/logging.h"
#include "core/transport/http1_reader.h"
#include "core/transport/http1_writer.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxIdleConnections = 64;
constexpr auto kMaxIdleTime = std::chrono::seconds(20);
// An idle connection is reused only within this share of the keep-alive time
// that the target announces.
constexpr int kUsableKeepAlivePercent = 60;
constexpr std::uint32_t kMaxAnswerHeadBytes = 65536;
constexpr std::size_t kReadBufferBytes = std::size_t{2} * kMaxAnswerHeadBytes;

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

}  // namespace

namespace detail {

class TargetConnection {
 public:
  explicit TargetConnection(const asio::any_io_executor& executor)
      : socket(std::make_shared<tcp::socket>(executor)),
        buffer(std::make_shared<boost::beast::flat_buffer>(kReadBufferBytes)),
        writer(std::make_shared<Http1Writer>(socket)) {}

  // Called after connecting. Non-blocking, so that IsClean does not wait.
  void SetOptions() {
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    socket->non_blocking(true, ignored);
  }

  // Whether nothing arrived on the connection while it was idle. If the target
  // closed it, the next request would be lost; if it holds unexpected bytes,
  // the next request would get part of another request's answer.
  bool IsClean() {
    char byte = 0;
    boost::system::error_code error;
    socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block && buffer->size() == 0;
  }

  // Ends the wait for input on the idle connection.
  void StopWaiting() {
    boost::system::error_code ignored;
    socket->cancel(ignored);
  }

  void Close() {
    boost::system::error_code ignored;
    socket->close(ignored);
  }

  std::shared_ptr<tcp::socket> socket;
  std::shared_ptr<boost::beast::flat_buffer> buffer;
  std::shared_ptr<Http1Writer> writer;
  TimePoint idle_since;
  // The target closes the connection after this long without a request.
  Duration keep_alive = kMaxIdleTime;
};

}  // namespace detail

using detail::TargetConnection;

struct TargetClient::Pool : public std::enable_shared_from_this<Pool> {
  std::shared_ptr<TargetConnection> Take() {
    const TimePoint now = Now();
    std::erase_if(idle, [now](const auto& connection) {
      // A request sent while the target closes the connection would be lost
      // with an unknown outcome, so connections are discarded before that time.
      return now - connection->idle_since >
             std::min<Duration>(
                 kMaxIdleTime,
                 connection->keep_alive * kUsableKeepAlivePercent / 100);
    });
    while (!idle.empty()) {
      std::shared_ptr<TargetConnection> connection = std::move(idle.back());
      idle.pop_back();
      if (connection->IsClean()) {
        connection->StopWaiting();
        return connection;
      }
    }
    return nullptr;
  }

  void Put(std::shared_ptr<TargetConnection> connection, const Endpoint& peer) {
    if (peer != endpoint || idle.size() >= kMaxIdleConnections) {
      connection->Close();
      return;
    }
    connection->idle_since = Now();
    connection->socket->async_wait(
        tcp::socket::wait_read,
        [pool = weak_from_this(),
         waiting = connection.get()](const boost::system::error_code& error) {
          const auto alive = pool.lock();
          if (alive && !error) {
            alive->Drop(waiting);
          }
        });
    idle.push_back(std::move(connection));
  }

  // The target has closed the idle connection, or sends bytes that belong to no
  // request. Without a request, nothing else would close it.
  void Drop(TargetConnection* connection) {
    std::erase_if(idle, [connection](const auto& one) {
      if (one.get() != connection) {
        return false;
      }
      // An exchange that ends may still hold the socket.
      one->Close();
      return true;
    });
  }

  Endpoint endpoint;
  std::vector<std::shared_ptr<TargetConnection>> idle;
};

namespace {

using Reader = Http1Reader<false>;

// One request and its answer, which is the source of the answer's body.
class Exchange : public TargetExchange,
                 public BodySource,
                 public std::enable_shared_from_this<Exchange> {
 public:
  using Release = std::function<void(std::shared_ptr<TargetConnection>)>;

  Exchange(const TargetDialect& dialect,
           RequestHead head,
           RequestId request_id,
           std::shared_ptr<BodySource> body,
           TargetListener* listener,
           Release release)
      : m_dialect(dialect),
        m_head(std::move(head)),
        m_request_id(std::move(request_id)),
        m_body(std::move(body)),
        m_listener(listener),
        m_release(std::move(release)) {}

  void Reuse(std::shared_ptr<TargetConnection> connection) {
    m_connection = std::move(connection);
    SendRequest();
  }

  void Connect(const asio::any_io_executor& executor, const Endpoint& endpoint);

  void Cancel() override {
    m_listener = nullptr;
    End(false);
  }

  void Read(ReadCallback callback) override {
    m_reader->Read([self = shared_from_this(),
                    callback = std::move(callback)](BodyRead read) {
      if (read.status == BodyStatus::kEnd && self->IsEndLost()) {
        read.status = BodyStatus::kError;
      }
      if (read.status == BodyStatus::kError) {
        self->End(false);
      }
      if (read.status == BodyStatus::kEnd) {
        self->End(self->m_is_request_sent &&
                  self->m_reader->parser().keep_alive());
      }
      callback(std::move(read));
    });
  }

  void Abort() override { End(false); }

 private:
  void OnConnected(const boost::system::error_code& error);
  void SendRequest();
  void OnRequestPumped(PumpResult result);
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void Answer();
  void Fail();

  // Whether the end of the connection, which also ends the answer, was a reset
  // or a time-out.
  bool IsEndLost() const {
    return m_connection && m_connection->writer->is_connection_lost() &&
           m_reader->parser().need_eof();
  }

  // Returns the connection to the pool only after a complete exchange, so that
  // a late answer cannot be taken for the answer to a later request.
  void End(bool is_clean);

  const TargetDialect& m_dialect;
  RequestHead m_head;
  RequestId m_request_id;
  std::shared_ptr<BodySource> m_body;
  // Null once notified or cancelled.
  TargetListener* m_listener;
  Release m_release;
  // Null once ended.
  std::shared_ptr<TargetConnection> m_connection;
  std::shared_ptr<Reader> m_reader;
  std::shared_ptr<BodyPump> m_pump;
  std::unique_ptr<asio::steady_timer> m_connect_timer;
  bool m_is_request_sent = false;
};

void Exchange::Connect(const asio::any_io_executor& executor,
                       const Endpoint& endpoint) {
  m_connection = std::make_shared<TargetConnection>(executor);
  m_connect_timer = std::make_unique<asio::steady_timer>(executor);
  m_connect_timer->expires_after(kConnectTimeout);
  m_connect_timer->async_wait(
      [connection = m_connection](const boost::system::error_code& error) {
        if (!error) {
          connection->Close();
        }
      });
  boost::system::error_code ignored;
  const auto address = asio::ip::make_address(endpoint.ip, ignored);
  m_connection->socket->async_connect(
      tcp::endpoint(address, endpoint.port),
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_connect_timer->cancel();
        self->OnConnected(error);
      });
}

void Exchange::OnConnected(const boost::system::error_code& error) {
  if (!m_connection) {
    return;
  }
  if (!error) {
    m_connection->SetOptions();
    SendRequest();
    return;
  }
  End(false);
  if (TargetListener* const listener = std::exchange(m_listener, nullptr)) {
    listener->OnConnectFailed();
  }
}

void Exchange::SendRequest() {
  m_connection->writer->Begin(ToText(m_head), m_head.shape);
  ReadHead();
  m_pump = BodyPump::Start(m_body, m_connection->writer,
                           [weak = weak_from_this()](PumpResult result) {
                             if (const auto self = weak.lock()) {
                               self->OnRequestPumped(result);
                             }
                           });
}

void Exchange::OnRequestPumped(PumpResult result) {
  m_is_request_sent = result == PumpResult::kComplete;
  // If the target stops reading the request it may still answer, so a failed
  // sink is not an error here; reading the answer decides.
  if (result != PumpResult::kSourceFailed)
    return;
  End(false);
  if (TargetListener* const listener = std::exchange(m_listener, nullptr))
    listener->OnRequestInterrupted();
}

void Exchange::ReadHead() {
  m_reader =
      std::make_shared<Reader>(m_connection->socket, m_connection->buffer);
  m_reader->parser().header_limit(kMaxAnswerHeadBytes);
  if (m_head.method == "HEAD") {
    m_reader->parser().skip(true);
  }
  AsyncReadAnswerHead(
      *m_connection->socket, *m_connection->buffer, m_reader->parser(),
      [self = shared_from_this(), reader = m_reader, connection = m_connection](
          const boost::system::error_code& error) { self->OnHead(error); });
}

void Exchange::OnHead(const boost::system::error_code& error) {
  if (!m_connection) {
    return;
  }
  if (error) {
    Fail();
    return;
  }
  const unsigned status = m_reader->parser().get().result_int();
  if (status == 101) {
    Fail();
    return;
  }
  if (status < kFirstFinalStatus) {
    ReadHead();
    return;
  }
  const bool ends_with_connection =
      m_reader->parser().need_eof() && m_head.method != "HEAD";
  if (ends_with_connection && !m_dialect.MayEndWithConnection()) {
    Fail();
    return;
  }
  Answer();
}

void Exchange::Answer() {
  const auto& message = m_reader->parser().get();
  AnswerHead answer;
  answer.status = static_cast<int>(message.result_int());
  answer.headers = EndToEndFields(message);
  const bool is_bodiless = m_head.method == "HEAD" ||
                           answer.status == kNoContent ||
                           answer.status == kNotModified;
  const auto length = message.find(http::field::content_length);
  if (is_bodiless && length != message.end()) {
    answer.headers.push_back({"Content-Length", std::string(length->value())});
  }
  // An answer that ends with its connection is relayed in chunks, so that the
  // receiver can distinguish its end from an interruption.
  const bool is_open_ended =
      m_reader->parser().chunked() || m_reader->parser().need_eof();
  if (!is_bodiless && is_open_ended) {
    answer.shape.framing = BodyFraming::kChunked;
  } else if (!is_bodiless) {
    answer.shape.framing = BodyFraming::kLength;
    answer.shape.length = m_reader->parser().content_length().value_or(0);
  }
  const TargetVerdict verdict =
      m_dialect.ReadAnswer(m_request_id, answer.status, message);
  if (!verdict.is_valid) {
    // The answer is late or belongs to another request, so the rest of this
    // connection's input cannot be trusted either.
    LogLine(LogLevel::kWarning, "target.answer_unsound")
        .Add("request_id", m_request_id)
        .Add("status", answer.status);
    Fail();
    return;
  }
  m_connection->keep_alive = verdict.keep_alive.value_or(kMaxIdleTime);
  const bool is_not_run = verdict.is_shed || verdict.is_wrong_target;
  if (is_not_run && m_reader->is_done()) {
    // The body is not relayed, so nothing else would return the connection to
    // the pool.
    End(m_is_request_sent && m_reader->parser().keep_alive());
  }
  if (TargetListener* const listener = std::exchange(m_listener, nullptr)) {
    listener->OnAnswer(std::move(answer), verdict, shared_from_this());
  }
}

void Exchange::Fail() {
  End(false);
  if (TargetListener* const listener = std::exchange(m_listener, nullptr)) {
    listener->OnFailed();
  }
}

void Exchange::End(bool is_clean) {
  const auto connection = std::exchange(m_connection, nullptr);
  if (!connection) {
    return;
  }
  if (m_pump) {
    m_pump->Stop();
  }
  if (is_clean && connection->buffer->size() == 0) {
    m_release(connection);
    return;
  }
  connection->Close();
}

}  // namespace

TargetClient::TargetClient(asio::any_io_executor executor,
                           const TargetDialect& dialect)
    : m_executor(std::move(executor)),
      m_dialect(dialect),
      m_pool(std::make_shared<Pool>()) {}

TargetClient::~TargetClient() = default;

void TargetClient::SetEndpoint(const Endpoint& endpoint) {
  if (endpoint != m_pool->endpoint) {
    m_pool->idle.clear();
    m_pool->endpoint = endpoint;
  }
}

std::shared_ptr<TargetExchange> TargetClient::Send(
    RequestHead head,
    RequestId request_id,
    std::shared_ptr<BodySource> body,
    TargetListener* listener) {
  const Endpoint endpoint = m_pool->endpoint;
  auto exchange = std::make_shared<Exchange>(
      m_dialect, std::move(head), std::move(request_id), std::move(body),
      listener,
      [pool = std::weak_ptr<Pool>(m_pool),
       endpoint](std::shared_ptr<TargetConnection> connection) {
        if (const auto alive = pool.lock()) {
          alive->Put(std::move(connection), endpoint);
        }
      });
  if (auto connection = m_pool->Take()) {
    exchange->Reuse(std::move(connection));
  } else {
    exchange->Connect(m_executor, endpoint);
  }
  return exchange;
}

std::size_t TargetClient::idle_connections() const {
  return m_pool->idle.size();
}

}  // namespace bulrushmount
