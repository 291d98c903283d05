// Sends requests to this node's target over HTTP/1.1, on pooled keep-alive
// connections.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_CLIENT_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_CLIENT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"
#include "core/transport/targets/target_dialect.h"

namespace bulrushmount {

namespace detail {
class TargetConnection;
}  // namespace detail

// Receives the result of one exchange with the target: exactly one of
// OnConnectFailed, OnFailed, OnRequestInterrupted and OnAnswer. After OnAnswer,
// `body` reports further failures.
class TargetListener {
 public:
  virtual ~TargetListener() = default;

  // No byte of the request was sent.
  virtual void OnConnectFailed() = 0;

  // Only called with a valid verdict.
  virtual void OnAnswer(AnswerHead head,
                        const TargetVerdict& verdict,
                        std::shared_ptr<BodySource> body) = 0;

  // Failed before an answer, after bytes of the request were sent.
  virtual void OnFailed() = 0;

  // The source of the request's body failed, so the target did not get the
  // complete request. This is no failure of the target.
  virtual void OnRequestInterrupted() = 0;
};

class TargetExchange {
 public:
  virtual ~TargetExchange() = default;

  // Closes the connection, unless the exchange has ended cleanly. The listener
  // is not called any more.
  virtual void Cancel() = 0;
};

class TargetClient {
 public:
  // `dialect` must outlive the client.
  explicit TargetClient(boost::asio::any_io_executor executor,
                        const TargetDialect& dialect = DefaultTargetDialect());
  ~TargetClient();

  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // Sets the target's address. Closes idle connections to an earlier address.
  void SetEndpoint(const Endpoint& endpoint);

  // `listener` must outlive the exchange or cancel it; it is never called
  // before this returns.
  std::shared_ptr<TargetExchange> Send(RequestHead head,
                                       RequestId request_id,
                                       std::shared_ptr<BodySource> body,
                                       TargetListener* listener);

  std::size_t idle_connections() const;

 private:
  struct Pool;

  boost::asio::any_io_executor m_executor;
  const TargetDialect& m_dialect;
  // Shared with the connections, which may end after this object.
  std::shared_ptr<Pool> m_pool;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_CLIENT_H_
