// Part of `caller_server.h`.

#include "core/transport/callers/caller_server.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/transport/callers/caller_connection.h"
#include "core/transport/http1_writer.h"
#include "core/transport/sockets.h"

namespace bulrushmount {

namespace asio = boost::asio;

namespace {

// Connections above the limit that are being answered with an error. Each stays
// open for up to a second; beyond this number, connections are reset so that
// the total stays bounded.
constexpr std::size_t kMaxPendingRefusals = 64;

}  // namespace

CallerServer::CallerServer(asio::io_context& context,
                           CallAcceptor& acceptor,
                           RandomSource& random,
                           const CallerLimits& limits,
                           const CallerDialect& dialect)
    : m_context(context),
      m_acceptor(acceptor),
      m_random(random),
      m_dialect(dialect),
      m_limits(std::make_shared<CallerLimits>(limits)),
      m_read_ahead(std::make_shared<ReadAheadBudget>(limits.max_read_ahead)),
      m_listener(context) {}

CallerServer::~CallerServer() {
  Close();
}

bool CallerServer::Listen(const Endpoint& endpoint) {
  if (!OpenListener(m_listener, endpoint)) {
    return false;
  }
  Accept();
  return true;
}

Endpoint CallerServer::endpoint() const {
  return LocalEndpoint(m_listener);
}

std::size_t CallerServer::connection_count() const {
  return static_cast<std::size_t>(
      std::count_if(m_connections.begin(), m_connections.end(),
                    [](const auto& weak) { return !weak.expired(); }));
}

void CallerServer::Accept() {
  AcceptOn(m_listener, [this](asio::ip::tcp::socket socket) {
    std::erase_if(m_connections,
                  [](const auto& weak) { return weak.expired(); });
    const std::size_t open = m_connections.size();
    if (open >= m_limits->max_connections + kMaxPendingRefusals) {
      ResetSocket(socket);
      return;
    }
    auto connection = std::make_shared<detail::CallerConnection>(
        std::move(socket), m_acceptor, m_random, m_limits, m_dialect,
        m_read_ahead);
    if (m_is_ending) {
      connection->Drain();
    }
    m_connections.push_back(connection);
    if (open >= m_limits->max_connections) {
      connection->StartRefused();
    } else {
      connection->Start();
    }
  });
}

void CallerServer::SetBounds(const CallerBounds& bounds) {
  m_limits->max_head =
      std::min<std::size_t>(bounds.max_head_bytes, kMaxHeadLimitBytes);
  m_limits->max_body = bounds.max_body_bytes;
  m_limits->head_time = bounds.head_time;
  m_limits->idle_time = bounds.idle_time;
}

void CallerServer::Drain() {
  boost::system::error_code ignored;
  m_listener.close(ignored);
  CloseAfterAnswers();
}

void CallerServer::CloseAfterAnswers() {
  m_is_ending = true;
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Drain();
    }
  }
}

bool CallerServer::IsIdle() const {
  return std::all_of(m_connections.begin(), m_connections.end(),
                     [](const auto& weak) {
                       const auto connection = weak.lock();
                       return !connection || connection->is_idle();
                     });
}

void CallerServer::Close() {
  boost::system::error_code ignored;
  m_listener.close(ignored);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Close();
    }
  }
}

}  // namespace bulrushmount
