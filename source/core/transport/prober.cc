// Part of `prober.h`.

#include "core/transport/prober.h"

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

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxReply = 16384;
constexpr int kHttp11 = 11;

class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(const asio::any_io_executor& executor,
        ProbeId id,
        EventSink& events,
        const TargetDialect& dialect)
      : m_stream(executor),
        m_id(id),
        m_events(events),
        m_dialect(dialect),
        m_buffer(kMaxReply) {}

  void Run(const SendProbe& probe, const std::string& path) {
    const Endpoint& endpoint = probe.endpoint;
    m_started = Now();
    m_valid_until = probe.valid_until;
    m_request.method(http::verb::get);
    m_request.target(path);
    m_request.version(kHttp11);
    m_request.set(http::field::host, ToString(endpoint));
    m_request.keep_alive(false);
    m_stream.expires_at(probe.gives_up_at);
    boost::system::error_code ignored;
    const tcp::endpoint to(asio::ip::make_address(endpoint.ip, ignored),
                           endpoint.port);
    m_stream.async_connect(to, [self = shared_from_this()](
                                   const boost::system::error_code& error) {
      self->OnConnected(error);
    });
  }

 private:
  // A probe that leaves late is one more than the budget allows: the share may
  // be another node's by now. One would see it at the target, as more probes
  // than the contract grants after this process was stopped while connecting.
  void OnConnected(const boost::system::error_code& error) {
    if (error || Now() >= m_valid_until) {
      m_events.Emit(ProbeFailed{m_id});
      return;
    }
    http::async_write(m_stream, m_request,
                      [self = shared_from_this()](
                          const boost::system::error_code&, std::size_t) {});
    http::async_read(
        m_stream, m_buffer, m_reply,
        [self = shared_from_this()](const boost::system::error_code& failure,
                                    std::size_t) { self->OnReply(failure); });
  }

  void OnReply(const boost::system::error_code& error) {
    if (error) {
      m_events.Emit(ProbeFailed{m_id});
      return;
    }
    const HealthVerdict verdict = m_dialect.ReadHealth(
        static_cast<int>(m_reply.result_int()), m_reply);
    m_events.Emit(ProbeAnswered{m_id, verdict.is_healthy, Now() - m_started,
                                verdict.instance, verdict.figures});
  }

  beast::tcp_stream m_stream;
  ProbeId m_id;
  EventSink& m_events;
  const TargetDialect& m_dialect;
  TimePoint m_started;
  TimePoint m_valid_until;
  http::request<http::empty_body> m_request;
  beast::flat_buffer m_buffer;
  http::response<http::string_body> m_reply;
};

}  // namespace

Prober::Prober(asio::any_io_executor executor,
               std::string path,
               EventSink& events,
               const TargetDialect& dialect)
    : m_executor(std::move(executor)),
      m_path(std::move(path)),
      m_events(events),
      m_dialect(dialect) {}

void Prober::Send(const SendProbe& probe) {
  if (Now() >= probe.valid_until) {
    asio::post(m_executor,
               [this, id = probe.probe] { m_events.Emit(ProbeFailed{id}); });
    return;
  }
  const std::string& path = probe.path.empty() ? m_path : probe.path;
  std::make_shared<Probe>(m_executor, probe.probe, m_events, m_dialect)
      ->Run(probe, path);
}

}  // namespace bulrushmount
