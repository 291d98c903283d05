// Part of `prober.h`.

#include "core/transport/targets/prober.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "core/common/answer_head_read.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Limits of the head and the body of an answer.
constexpr std::size_t kMaxHeadBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 65536;
constexpr int kHttp11 = 11;

}  // namespace

// One probe. Returns its connection to the prober after a complete reply, since
// a new connection would cost the target a handshake for each probe.
class Prober::Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(Prober& prober, ProbeId id) : m_prober(prober), m_id(id) {
    m_reply.body_limit(kMaxBodyBytes);
  }

  void Run(const SendProbe& probe, const std::string& path) {
    m_endpoint = probe.endpoint;
    m_started = Now();
    m_valid_until = probe.valid_until;
    m_gives_up_at = probe.gives_up_at;
    m_request.method(http::verb::get);
    m_request.target(path);
    m_request.version(kHttp11);
    m_request.set(http::field::host, ToString(m_endpoint));
    m_stream = m_prober.TakeIdle(m_endpoint);
    if (m_stream) {
      m_is_reused = true;
      m_stream->expires_at(m_gives_up_at);
      Send();
      return;
    }
    Connect();
  }

 private:
  void Connect() {
    m_stream = std::make_unique<beast::tcp_stream>(m_prober.m_executor);
    m_stream->expires_at(m_gives_up_at);
    boost::system::error_code ignored;
    const tcp::endpoint to(asio::ip::make_address(m_endpoint.ip, ignored),
                           m_endpoint.port);
    m_stream->async_connect(to, [self = shared_from_this()](
                                    const boost::system::error_code& error) {
      self->OnConnected(error);
    });
  }

  // A probe sent after `valid_until` exceeds the probe budget, because the
  // budget share may belong to another node by then. If this process was
  // suspended while connecting, the target would get more probes than the
  // contract allows.
  void OnConnected(const boost::system::error_code& error) {
    if (error || Now() >= m_valid_until) {
      m_prober.m_events.Emit(
          ProbeFailed{m_id, error == asio::error::connection_refused});
      return;
    }
    boost::system::error_code ignored;
    m_stream->socket().set_option(tcp::no_delay(true), ignored);
    m_stream->socket().non_blocking(true, ignored);
    Send();
  }

  void Send() {
    http::async_write(*m_stream, m_request,
                      [self = shared_from_this()](
                          const boost::system::error_code&, std::size_t) {});
    AsyncReadAnswerHead(
        *m_stream, m_buffer, m_reply,
        [self = shared_from_this()](const boost::system::error_code& failure) {
          self->OnHead(failure);
        });
  }

  void OnHead(const boost::system::error_code& error) {
    if (error) {
      OnReply(error);
      return;
    }
    http::async_read(
        *m_stream, m_buffer, m_reply,
        [self = shared_from_this()](const boost::system::error_code& failure,
                                    std::size_t) { self->OnReply(failure); });
  }

  void OnReply(const boost::system::error_code& error) {
    // The target has closed the kept connection while the probe was sent.
    const bool is_stale = error && m_is_reused && !m_reply.got_some() &&
                          error != beast::error::timeout;
    if (is_stale) {
      m_is_reused = false;
      Connect();
      return;
    }
    if (error) {
      m_prober.m_events.Emit(ProbeFailed{m_id});
      return;
    }
    const auto& reply = m_reply.get();
    const HealthVerdict verdict = m_prober.m_dialect.ReadHealth(
        static_cast<int>(reply.result_int()), reply);
    if (reply.keep_alive() && m_buffer.size() == 0)
      m_prober.KeepIdle(m_endpoint, std::move(m_stream));
    m_prober.m_events.Emit(ProbeAnswered{
        m_id, verdict.is_healthy, Now() - m_started, verdict.instance,
        verdict.load_sample, verdict.cold_time_left, verdict.notice});
  }

  Prober& m_prober;
  ProbeId m_id;
  Endpoint m_endpoint;
  std::unique_ptr<beast::tcp_stream> m_stream;
  // Whether the connection is that of an earlier probe.
  bool m_is_reused = false;
  TimePoint m_started;
  TimePoint m_valid_until;
  TimePoint m_gives_up_at;
  http::request<http::empty_body> m_request;
  beast::flat_buffer m_buffer{kMaxHeadBytes};
  http::response_parser<http::string_body> m_reply;
};

Prober::Prober(asio::any_io_executor executor,
               std::string path,
               EventSink& events,
               const TargetDialect& dialect)
    : m_executor(std::move(executor)),
      m_path(std::move(path)),
      m_events(events),
      m_dialect(dialect) {}

Prober::~Prober() = default;

void Prober::Send(const SendProbe& probe) {
  if (Now() >= probe.valid_until) {
    asio::post(m_executor,
               [this, id = probe.probe] { m_events.Emit(ProbeFailed{id}); });
    return;
  }
  const std::string& path = probe.path.empty() ? m_path : probe.path;
  std::make_shared<Probe>(*this, probe.probe)->Run(probe, path);
}

std::unique_ptr<beast::tcp_stream> Prober::TakeIdle(const Endpoint& endpoint) {
  std::unique_ptr<beast::tcp_stream> stream = std::move(m_idle);
  if (!stream || endpoint != m_idle_endpoint)
    return nullptr;
  // Input on an idle connection is either the target's close or unexpected
  // data; in both cases the connection is unusable.
  char byte = 0;
  boost::system::error_code error;
  stream->socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                           error);
  return error == asio::error::would_block ? std::move(stream) : nullptr;
}

void Prober::KeepIdle(const Endpoint& endpoint,
                      std::unique_ptr<beast::tcp_stream> stream) {
  stream->expires_never();
  m_idle_endpoint = endpoint;
  m_idle = std::move(stream);
}

}  // namespace bulrushmount
