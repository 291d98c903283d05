// The caller address: takes calls over HTTP/1.1 and writes their answers.

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

// Bytes of a request's body that are read before the call is handed in, at
// least; a body that ends by then can be sent again. Also what the fingerprint
// covers of a body.
inline constexpr std::size_t kBufferedBody = 16384;

// What callers may take of a node's memory and descriptors.
struct CallerLimits {
  std::size_t max_head = kMaxHead;
  // A body of up to this size can be sent again. Less than kBufferedBody
  // counts as that: the fingerprint needs it, and must be the same at each
  // node.
  std::size_t max_buffered_body = kBufferedBody;
  // Further connections are told so and closed.
  std::size_t max_connections = 4096;
  // A longer body is refused.
  std::uint64_t max_body = std::numeric_limits<std::uint64_t>::max();
  // Between two requests, and for a head from its first byte to its last. A
  // caller that sends its bytes one by one would else hold a connection and
  // its buffers for ever.
  Duration idle_time = std::chrono::seconds(75);
  Duration head_time = std::chrono::seconds(10);
  // Requests of one connection that are in progress at once, the oldest
  // included; 1 works on them one after another. Callers that send ahead send a
  // handful.
  std::size_t max_pipelined = 16;
  // Requests that are worked on ahead of their turn, over all connections. Each
  // holds up to 80 KB of its answer: 40 MB at the worst.
  std::size_t max_read_ahead = 512;
};

// One call, from its head to the end of its answer. Exactly one of Answer,
// BeginAnswer and Break ends it; all are without effect once the caller is
// gone.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const CallHead& head() const = 0;
  virtual const HeaderList& headers() const = 0;
  virtual const BodyShape& shape() const = 0;

  // The request's body from its start. Null when a part of it that is no more
  // here went to an earlier attempt.
  virtual std::shared_ptr<BodySource> OpenBody() = 0;

  // A whole answer. Fields that frame it are added here.
  virtual void Answer(AnswerHead head, std::string body) = 0;

  // Starts an answer, whose body goes to the result.
  virtual std::shared_ptr<BodySink> BeginAnswer(AnswerHead head) = 0;

  // Closes the connection with a reset.
  virtual void Break() = 0;
};

class CallAcceptor {
 public:
  virtual ~CallAcceptor() = default;
  virtual void OnCall(std::shared_ptr<CallerExchange> exchange) = 0;
  // The caller went before the end of its answer. Not told after Break.
  virtual void OnCallerDisconnected(const CallerExchange& exchange) = 0;
  // Whether running the request twice does no harm, as far as is known now.
  // Only such a request is handed in while one before it on its connection is
  // unanswered.
  virtual bool IsRepeatable(const CallHead& head) const = 0;
};

namespace detail {
class CallerConnection;
}  // namespace detail

class CallerServer {
 public:
  // All must outlive the server. `random` draws request ids.
  CallerServer(boost::asio::io_context& context,
               CallAcceptor& acceptor,
               RandomSource& random,
               const CallerLimits& limits = CallerLimits(),
               const CallerDialect& dialect = DefaultCallerDialect());
  ~CallerServer();

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Port 0 takes a free one. False if the address cannot be had.
  bool Listen(const Endpoint& endpoint);
  Endpoint endpoint() const;

  // For heads that are read from now on.
  void SetBounds(const CallerBounds& bounds);

  // Connections that are open, with those that are being refused.
  std::size_t connection_count() const;

  // Each connection, old or new, ends after its next answer.
  void EndAfterAnswers();
  // The same, and no new ones are taken.
  void Drain();

  // Whether no exchange is in progress and all bytes are with the sockets.
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
