// Hands requests to the target beside this node over HTTP/1.1, on pooled
// keep-alive connections.

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

// What becomes of one exchange with the target: OnConnectFailed, or OnFailed,
// or OnAnswer. After OnAnswer, `body` tells the rest.
class TargetListener {
 public:
  virtual ~TargetListener() = default;

  // No byte of the request was handed over.
  virtual void OnConnectFailed() = 0;

  // The verdict is sound.
  virtual void OnAnswer(AnswerHead head,
                        const TargetVerdict& verdict,
                        std::shared_ptr<BodySource> body) = 0;

  // Broke off before an answer, and bytes were handed over.
  virtual void OnFailed() = 0;
};

class TargetExchange {
 public:
  virtual ~TargetExchange() = default;

  // Closes the connection, unless the exchange has ended cleanly. Nothing is
  // told to the listener any more.
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

  // Where the target is. Idle connections to an earlier one are closed.
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
