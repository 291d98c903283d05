// The server on the caller address: accepts calls over HTTP/1.1 and writes
// their answers.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"
#include "core/routes/route_config.h"
#include "core/transport/body_stream.h"
#include "core/transport/callers/caller_dialect.h"
#include "core/transport/callers/read_ahead_budget.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// The least number of body bytes that are read before a call is submitted; a
// body that ends within them can be sent again. Also the part of the body that
// the fingerprint covers.
inline constexpr std::size_t kMinBufferedBodyBytes = 16384;

// Limits on the memory and file descriptors that callers may use in a node.
struct CallerLimits {
  std::size_t max_head = kDefaultMaxHeadBytes;
  // A body of up to this size can be sent again. Smaller values count as
  // kMinBufferedBodyBytes: the fingerprint covers that much, and must be the
  // same on every node.
  std::size_t max_buffered_body = kMinBufferedBodyBytes;
  // Further connections get an error answer and are closed.
  std::size_t max_connections = 4096;
  // A longer body is rejected.
  std::uint64_t max_body = std::numeric_limits<std::uint64_t>::max();
  // The time limit between two requests, and for a head from its first to its
  // last byte. Without them a caller that sends single bytes slowly could hold
  // a connection and its buffers forever.
  Duration idle_time = std::chrono::seconds(75);
  Duration head_time = std::chrono::seconds(10);
  // Requests of one connection that are in progress at once, including the
  // oldest; 1 runs them sequentially. Typical pipelining callers send a
  // handful.
  std::size_t max_pipelined = 16;
  // Requests that run ahead of their turn, over all connections. Each buffers
  // up to 80 KB of its answer, so the worst case is 40 MB.
  std::size_t max_read_ahead = 512;
};

// One call, from its head to the end of its answer. Exactly one of Answer,
// BeginAnswer and Break is called to end it; all have no effect once the caller
// has disconnected.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const CallHead& head() const = 0;
  virtual const HeaderList& headers() const = 0;
  virtual const BodyShape& shape() const = 0;

  // The request body from its start. Null if an earlier attempt has consumed a
  // part that is no longer buffered.
  virtual std::shared_ptr<BodySource> OpenBody() = 0;

  // Sends a complete answer, with the fields that frame its body.
  virtual void Answer(AnswerHead head, std::string body) = 0;

  // Starts an answer; returns the sink for its body.
  virtual std::shared_ptr<BodySink> BeginAnswer(AnswerHead head) = 0;

  // Closes the connection with a reset.
  virtual void Break() = 0;
};

class CallAcceptor {
 public:
  virtual ~CallAcceptor() = default;
  virtual void OnCall(std::shared_ptr<CallerExchange> exchange) = 0;
  // The caller disconnected before the end of its answer. Not called after
  // Break.
  virtual void OnCallerDisconnected(const CallerExchange& exchange) = 0;
  // Whether the request may safely run twice, as far as is known now. Only such
  // a request is submitted while an earlier one on its connection is
  // unanswered.
  virtual bool IsRepeatable(const CallHead& head) const = 0;
};

namespace detail {
class CallerConnection;
}  // namespace detail

class CallerServer {
 public:
  // All must outlive the server. `random` generates request ids.
  CallerServer(boost::asio::io_context& context,
               CallAcceptor& acceptor,
               RandomSource& random,
               const CallerLimits& limits = CallerLimits(),
               const CallerDialect& dialect = DefaultCallerDialect());
  ~CallerServer();

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Port 0 selects a free port. False if the address cannot be opened.
  bool Listen(const Endpoint& endpoint);
  Endpoint endpoint() const;

  // Applies to heads that are read from now on.
  void SetBounds(const CallerBounds& bounds);

  // Open connections, including those being rejected.
  std::size_t connection_count() const;

  // Closes each connection, existing or new, after its pending answers; one
  // without a pending answer is closed after its next answer.
  void CloseAfterAnswers();
  // The same, and accepts no new connections.
  void Drain();

  // Whether no exchange is in progress and all bytes are written to the
  // sockets.
  bool IsIdle() const;

  void Close();

 private:
  void Accept();

  boost::asio::io_context& m_context;
  CallAcceptor& m_acceptor;
  RandomSource& m_random;
  const CallerDialect& m_dialect;
  // Shared with the connections.
  std::shared_ptr<CallerLimits> m_limits;
  std::shared_ptr<ReadAheadBudget> m_read_ahead;
  bool m_is_ending = false;
  boost::asio::ip::tcp::acceptor m_listener;
  std::vector<std::weak_ptr<detail::CallerConnection>> m_connections;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_SERVER_H_
