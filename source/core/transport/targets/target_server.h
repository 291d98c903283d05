// The server on the target address, where this node's target announces and
// withdraws itself.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_SERVER_H_

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/transport/event_sink.h"
#include "core/transport/operators/control_server.h"

namespace bulrushmount {

// Parses the body of PUT /target: {"service", "port", "slots", "connections",
// "incarnation"}. If it is invalid, describes the errors in `fault` and returns
// nullopt.
std::optional<TargetAnnounced> ParseAnnouncement(const std::string& json,
                                                 const std::string& peer_ip,
                                                 std::string& fault);

class TargetServer : public ControlHandler {
 public:
  // `events` must outlive the server.
  TargetServer(boost::asio::io_context& context, EventSink& events)
      : m_server(context, *this), m_events(events) {}

  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }
  Endpoint endpoint() const { return m_server.endpoint(); }
  void Close() { m_server.Close(); }

  void OnRequest(const ControlRequest& request, Respond respond) override;

 private:
  ControlServer m_server;
  EventSink& m_events;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_SERVER_H_
