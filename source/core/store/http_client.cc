// A pool assigns its connections to exchanges; an exchange is one request with
// its response and time-out.

#include "core/store/http_client.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "core/common/answer_head_read.h"
#include "core/common/tcp_options.h"
#include "core/store/idle_sockets.h"

namespace bulrushmount {
namespace detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

}  // namespace

class HttpExchange;

class HttpConnectionPool
    : public std::enable_shared_from_this<HttpConnectionPool> {
 public:
  HttpConnectionPool(asio::io_context& io, HttpClientSettings settings)
      : m_io(io), m_settings(std::move(settings)) {}

  asio::io_context& io() { return m_io; }
  const HttpClientSettings& settings() const { return m_settings; }

  void Add(std::shared_ptr<HttpExchange> exchange);
  // `socket` is null unless the exchange finished cleanly.
  void Release(const std::shared_ptr<HttpExchange>& exchange,
               std::unique_ptr<Socket> socket);
  void Close();

 private:
  void StartWaiting();

  asio::io_context& m_io;
  HttpClientSettings m_settings;
  std::deque<std::shared_ptr<HttpExchange>> m_waiting;
  // At most `max_connections`; each uses one connection.
  std::vector<std::shared_ptr<HttpExchange>> m_running;
  IdleSockets m_idle;
};

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(std::shared_ptr<HttpConnectionPool> pool,
               HttpRequest request,
               Duration timeout,
               HttpClient::Callback callback)
      : m_pool(std::move(pool)),
        m_request(std::move(request)),
        m_timeout(timeout),
        m_callback(std::move(callback)),
        m_timer(m_pool->io()) {}

  void StartTimer() {
    m_timer.expires_after(m_timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->Fail(self->m_may_have_written);
      }
    });
  }

  // `socket` is a connection to reuse, or null to open a new one.
  void Run(std::unique_ptr<Socket> socket) {
    m_socket = std::move(socket);
    if (m_socket) {
      Write();
    } else {
      Connect();
    }
  }

  // Ends the exchange without calling the callback.
  void Abandon() {
    m_is_done = true;
    m_timer.cancel();
    CloseSocket();
  }

 private:
  void Connect() {
    const Endpoint& server = m_pool->settings().server;
    m_socket = std::make_unique<Socket>(m_pool->io());
    if (!BindToLocal()) {
      asio::post(m_pool->io(),
                 [self = shared_from_this()] { self->Fail(false); });
      return;
    }
    m_socket->async_connect({asio::ip::make_address(server.ip), server.port},
                            [self = shared_from_this()](error_code error) {
                              if (self->m_is_done) {
                                return;
                              }
                              if (error) {
                                self->Fail(false);
                                return;
                              }
                              error_code ignored;
                              self->m_socket->set_option(
                                  asio::ip::tcp::no_delay(true), ignored);
                              DetectDeadPeer(self->m_socket->native_handle());
                              self->Write();
                            });
  }

  // False if the local address is invalid or cannot be bound.
  bool BindToLocal() {
    const std::string& local_ip = m_pool->settings().local_ip;
    if (local_ip.empty()) {
      return true;
    }
    error_code error;
    const asio::ip::tcp::endpoint local(asio::ip::make_address(local_ip, error),
                                        0);
    if (!error) {
      m_socket->open(local.protocol(), error);
    }
    if (!error) {
      m_socket->bind(local, error);
    }
    return !error;
  }

  void Write() {
    m_may_have_written = true;
    http::async_write(
        *m_socket, m_request,
        [self = shared_from_this()](error_code error, std::size_t written) {
          if (self->m_is_done) {
            return;
          }
          if (error) {
            self->Fail(written > 0);
            return;
          }
          self->Read();
        });
  }

  void Read() {
    m_parser.body_limit(m_pool->settings().max_reply_bytes);
    AsyncReadAnswerHead(*m_socket, m_buffer, m_parser,
                        [self = shared_from_this()](error_code error) {
                          if (self->m_is_done) {
                            return;
                          }
                          if (error) {
                            self->Fail(true);
                            return;
                          }
                          self->ReadBody();
                        });
  }

  void ReadBody() {
    http::async_read(
        *m_socket, m_buffer, m_parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (self->m_is_done) {
            return;
          }
          if (error) {
            self->Fail(true);
            return;
          }
          self->FinishAnswered();
        });
  }

  void FinishAnswered() {
    const bool keep = m_parser.get().keep_alive() && m_buffer.size() == 0;
    HttpReply reply;
    reply.delivery = HttpDelivery::kAnswered;
    reply.status = m_parser.get().result_int();
    reply.body = std::move(m_parser.get().body());
    reply.fields = std::move(m_parser.get().base());
    Finish(std::move(reply), keep ? std::move(m_socket) : nullptr);
  }

  void Fail(bool may_have_written) {
    HttpReply reply;
    reply.delivery =
        may_have_written ? HttpDelivery::kUnknown : HttpDelivery::kNotSent;
    Finish(std::move(reply), nullptr);
  }

  void Finish(HttpReply reply, std::unique_ptr<Socket> reusable) {
    if (m_is_done) {
      return;
    }
    Abandon();
    const auto self = shared_from_this();
    m_pool->Release(self, std::move(reusable));
    const HttpClient::Callback callback = std::move(m_callback);
    callback(std::move(reply));
  }

  // The socket object is kept until the last handler is gone, as pending
  // operations refer to it.
  void CloseSocket() {
    if (m_socket) {
      error_code ignored;
      m_socket->close(ignored);
    }
  }

  std::shared_ptr<HttpConnectionPool> m_pool;
  HttpRequest m_request;
  Duration m_timeout;
  HttpClient::Callback m_callback;
  asio::steady_timer m_timer;
  std::unique_ptr<Socket> m_socket;
  boost::beast::flat_buffer m_buffer;
  http::response_parser<http::string_body> m_parser;
  bool m_may_have_written = false;
  // Once set, handlers do nothing.
  bool m_is_done = false;
};

void HttpConnectionPool::Add(std::shared_ptr<HttpExchange> exchange) {
  exchange->StartTimer();
  m_waiting.push_back(std::move(exchange));
  asio::post(m_io, [self = shared_from_this()] { self->StartWaiting(); });
}

void HttpConnectionPool::Release(const std::shared_ptr<HttpExchange>& exchange,
                                 std::unique_ptr<Socket> socket) {
  std::erase(m_running, exchange);
  std::erase(m_waiting, exchange);
  if (socket) {
    m_idle.Add(std::move(socket));
  }
  asio::post(m_io, [self = shared_from_this()] { self->StartWaiting(); });
}

void HttpConnectionPool::Close() {
  for (const auto& exchange : m_running) {
    exchange->Abandon();
  }
  for (const auto& exchange : m_waiting) {
    exchange->Abandon();
  }
  m_running.clear();
  m_waiting.clear();
  m_idle.Clear();
}

void HttpConnectionPool::StartWaiting() {
  while (!m_waiting.empty() && m_running.size() < m_settings.max_connections) {
    const std::shared_ptr<HttpExchange> next = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_running.push_back(next);
    next->Run(m_idle.Take());
  }
}

}  // namespace detail

HttpClient::HttpClient(boost::asio::io_context& io, HttpClientSettings settings)
    : m_pool(
          std::make_shared<detail::HttpConnectionPool>(io,
                                                       std::move(settings))) {}

HttpClient::~HttpClient() {
  m_pool->Close();
}

void HttpClient::Send(HttpRequest request, Callback callback) {
  Send(std::move(request), m_pool->settings().timeout, std::move(callback));
}

void HttpClient::Send(HttpRequest request,
                      Duration timeout,
                      Callback callback) {
  if (request.count(boost::beast::http::field::host) == 0) {
    request.set(boost::beast::http::field::host,
                ToString(m_pool->settings().server));
  }
  request.prepare_payload();
  m_pool->Add(std::make_shared<detail::HttpExchange>(
      m_pool, std::move(request), timeout, std::move(callback)));
}

}  // namespace bulrushmount
