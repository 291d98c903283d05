// Runs one node: turns socket activity into events for the decision logic and
// carries out the actions that the logic returns. Takes no decisions itself.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_NODE_DRIVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_NODE_DRIVER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/node_logic/node_logic_interface.h"
#include "core/store/table_service.h"
#include "core/transport/callers/caller_server.h"
#include "core/transport/callers/entry_calls.h"
#include "core/transport/event_sink.h"
#include "core/transport/operators/operator_server.h"
#include "core/transport/peers/control_request_handler.h"
#include "core/transport/peers/datagram_socket.h"
#include "core/transport/peers/node_stream_client.h"
#include "core/transport/peers/node_stream_server.h"
#include "core/transport/targets/owner_works.h"
#include "core/transport/targets/prober.h"
#include "core/transport/targets/target_client.h"
#include "core/transport/targets/target_server.h"

namespace bulrushmount {

struct DriverSettings {
  NodeId id;
  // The addresses on which this node listens. Port 0 selects a free port.
  Endpoint caller;
  Endpoint stream;
  Endpoint gossip;
  Endpoint target;
  Endpoint operators;
  // Empty: operator requests need no token.
  std::string operator_token;
  // An answer that transfers no byte for this long is aborted. Duration::max():
  // no limit.
  Duration min_progress_time = std::chrono::seconds(30);
  std::string health_path = "/health";
  CallerLimits callers;
  // False if another component serves the `target` address, with another
  // protocol.
  bool has_target_server = true;
  // How long new connections are accepted after a shutdown request.
  Duration leave_time{};
  // The process exits this long after a shutdown request even if calls are in
  // progress.
  Duration longest_leave = std::chrono::hours(1);
  // Both must outlive the driver.
  const CallerDialect* caller_dialect = &DefaultCallerDialect();
  const TargetDialect* target_dialect = &DefaultTargetDialect();
};

class NodeDriver : public EventSink {
 public:
  // All must outlive the driver.
  NodeDriver(boost::asio::io_context& context,
             const DriverSettings& settings,
             NodeLogicInterface& logic,
             TableService& table,
             RandomSource& random);
  ~NodeDriver() override;

  NodeDriver(const NodeDriver&) = delete;
  NodeDriver& operator=(const NodeDriver&) = delete;

  // Listens on all addresses. If one cannot be opened, logs the reason and
  // returns false.
  bool Start();

  // Handles SIGTERM: rejects new work and finishes what is in progress. A
  // second call exits at once and logs how many calls it cut off.
  void Shutdown();

  // Called once, when the node has stopped; `is_clean` if no call was cut off.
  void SetOnExit(std::function<void(bool is_clean)> on_exit) {
    m_on_exit = std::move(on_exit);
  }

  // For adding pages; `/ready` and `/status` are already registered.
  OperatorServer& operators() { return m_operators; }
  // Server and client side of control requests between nodes.
  ControlRequestHandler& controls() { return m_controls; }
  NodeStreamClient& client() { return m_client; }

  bool IsReady() const { return m_logic.IsReady() && !m_is_shutting_down; }

  Endpoint caller_endpoint() const { return m_callers.endpoint(); }
  Endpoint stream_endpoint() const { return m_streams.endpoint(); }
  Endpoint gossip_endpoint() const { return m_gossip.endpoint(); }
  Endpoint target_endpoint() const { return m_targets.endpoint(); }

  void Emit(NodeEvent event) override;

 private:
  void Handle(NodeEvent event);

  // Passes the action to the component that executes it.
  template <typename Action>
  void CarryOut(const Action& action);

  void Do(const UseTarget& action);
  void Do(const SetCallerBounds& action);
  void Do(const SendProbe& action);
  void Do(const SendDatagram& action);
  void Do(const SubmitTableRequest& action);
  void Do(const ExitProcess& action);

  void AddPages();
  ControlReply StatusPage();
  void ArmTimer();
  void OnWakeup(TimePoint planned);
  // Emits TimerFired after `rounds` more iterations of the event loop.
  void FireTimer(int rounds);
  void WatchStalls();
  // Exits once all answers are written to the sockets.
  void ExitWhenFlushed();
  void StopAcceptingAfter(Duration time);
  void StopAccepting();
  void Exit(bool is_clean);

  boost::asio::io_context& m_context;
  DriverSettings m_settings;
  NodeLogicInterface& m_logic;
  TableService& m_table;

  // Events emitted while actions were being carried out.
  std::deque<NodeEvent> m_events;
  bool m_is_handling = false;

  NodeStreamClient m_client;
  TargetClient m_target;
  OwnerWorks m_works;
  ControlRequestHandler m_controls;
  EntryCalls m_calls;
  NodeStreamServer m_streams;
  CallerServer m_callers;
  DatagramSocket m_gossip;
  OperatorServer m_operators;
  TargetServer m_targets;
  Prober m_prober;

  boost::asio::steady_timer m_wakeup_timer;
  TimePoint m_armed_wakeup = TimePoint::max();
  // The timer has expired after a pause and is handled after the input.
  bool m_is_wakeup_deferred = false;
  boost::asio::steady_timer m_stall_timer;
  boost::asio::steady_timer m_exit_timer;
  boost::asio::steady_timer m_leave_timer;
  bool m_is_shutting_down = false;
  bool m_has_ended = false;
  // After a shutdown request: when the process exits even if calls are in
  // progress.
  TimePoint m_forced_exit_at = TimePoint::max();
  std::function<void(bool is_clean)> m_on_exit;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_NODE_DRIVER_H_
