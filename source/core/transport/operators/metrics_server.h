// The server on the metrics address: serves only GET /metrics, without
// authentication.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_METRICS_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_METRICS_SERVER_H_

#include <boost/asio/io_context.hpp>

#include "core/node_logic/node_logic.h"
#include "core/transport/operators/control_server.h"

namespace bulrushmount {

class MetricsServer : public ControlHandler {
 public:
  // Both must outlive the server.
  MetricsServer(boost::asio::io_context& context, const NodeLogic& logic)
      : m_logic(logic), m_server(context, *this) {}

  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }

  void OnRequest(const ControlRequest& request, Respond respond) override;

 private:
  const NodeLogic& m_logic;
  ControlServer m_server;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_METRICS_SERVER_H_
