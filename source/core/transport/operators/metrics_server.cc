// Part of `metrics_server.h`.

#include "core/transport/operators/metrics_server.h"

#include <utility>

#include "core/reporting/metrics_page.h"

namespace bulrushmount {

void MetricsServer::OnRequest(const ControlRequest& request, Respond respond) {
  ControlReply reply;
  if (request.method != "GET" || request.target != "/metrics") {
    reply.status = 404;
    reply.body = "only GET /metrics\n";
  } else {
    reply.content_type = kMetricsContentType;
    reply.body = m_logic.MetricsText(Now());
  }
  respond(std::move(reply));
}

}  // namespace bulrushmount
