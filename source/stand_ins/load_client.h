// Sends the requests of the load generator over keep-alive connections and
// verifies each answer.

#ifndef BULRUSHMOUNT_STAND_INS_LOAD_CLIENT_H_
#define BULRUSHMOUNT_STAND_INS_LOAD_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/store/idle_sockets.h"
#include "stand_ins/load_plan.h"
#include "stand_ins/load_summary.h"

namespace bulrushmount {

// One request to send.
struct LoadCall {
  std::uint64_t number = 0;
  LoadKind kind;
  // Scheduled send time, from which the latency is measured.
  TimePoint intended;
};

namespace detail {
class LoadExchange;
}  // namespace detail

// Runs at most `max_connections` exchanges at once and queues the others.
class LoadClient {
 public:
  using Callback = std::function<void(const CallResult& result)>;

  LoadClient(boost::asio::io_context& io,
             const LoadOptions& options,
             Callback callback)
      : m_io(io), m_options(options), m_callback(std::move(callback)) {}

  // Calls the callback exactly once, at the latest when the time-out expires.
  void Send(const LoadCall& call);
  std::size_t open() const { return m_running + m_waiting.size(); }

 private:
  friend class detail::LoadExchange;
  using Socket = boost::asio::ip::tcp::socket;
  using ExchangePointer = std::shared_ptr<detail::LoadExchange>;

  void Finish(const detail::LoadExchange& exchange,
              const CallResult& result,
              std::unique_ptr<Socket> reusable);
  void StartWaiting();

  boost::asio::io_context& m_io;
  const LoadOptions& m_options;
  Callback m_callback;
  // Each running exchange uses one connection; at most `max_connections`.
  std::size_t m_running = 0;
  std::deque<ExchangePointer> m_waiting;
  // Idle connections, indexed by entry.
  std::vector<IdleSockets> m_idle{m_options.entries.size()};
};

// Whether `body` is the answer of a target stand-in to a request to `path` with
// this digest.
bool IsAnswerTo(std::uint64_t digest,
                std::string_view path,
                std::string_view body);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_LOAD_CLIENT_H_
