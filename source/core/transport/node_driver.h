// Runs one node: turns what happens on its sockets into events for the decision
// logic, and the logic's actions into bytes. It decides nothing itself.

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
#include "core/transport/peers/control_works.h"
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
  // Where this node listens. Port 0 takes a free one.
  Endpoint caller;
  Endpoint stream;
  Endpoint gossip;
  Endpoint target;
  Endpoint operators;
  // Empty: no token is asked for.
  std::string operator_token;
  // An answer of which no byte moves for this long is broken off.
  Duration min_progress_time = std::chrono::seconds(30);
  std::string health_path = "/health";
  CallerLimits callers;
  // Where `target` is served by someone else, who speaks another protocol.
  bool has_target_server = true;
  // After a shutdown was asked for, new connections are taken this long.
  Duration leave_time{};
  // And this long after it the process ends, whatever is under way.
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
             NodeLogicInterface& brain,
             TableService& table,
             RandomSource& random);
  ~NodeDriver() override;

  NodeDriver(const NodeDriver&) = delete;
  NodeDriver& operator=(const NodeDriver&) = delete;

  // Opens all addresses. False, with the reason logged, if one cannot be had.
  bool Start();

  // SIGTERM: takes nothing new and ends what is in progress. A second call ends
  // at once and logs what was cut.
  void Shutdown();

  // Called once, when the node has ended; `is_clean` if nothing was cut.
  void SetOnExit(std::function<void(bool is_clean)> on_exit) {
    m_on_exit = std::move(on_exit);
  }

  // To add pages; `/ready` and `/status` are there.
  OperatorServer& operators() { return m_operators; }
  // To answer other nodes' questions, and to ask them.
  ControlWorks& controls() { return m_controls; }
  NodeStreamClient& client() { return m_client; }

  bool IsReady() const { return m_brain.IsReady() && !m_is_shutting_down; }

  Endpoint caller_endpoint() const { return m_callers.endpoint(); }
  Endpoint stream_endpoint() const { return m_streams.endpoint(); }
  Endpoint gossip_endpoint() const { return m_gossip.endpoint(); }
  Endpoint target_endpoint() const { return m_targets.endpoint(); }

  void Emit(NodeEvent event) override;

 private:
  void Handle(NodeEvent event);

  // Hands the action to the part that carries it out.
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
  void WatchStalls();
  // Waits until the last bytes are with the sockets.
  void ExitWhenFlushed();
  void StopAcceptingAfter(Duration time);
  void StopAccepting();
  void Exit(bool is_clean);

  boost::asio::io_context& m_context;
  DriverSettings m_settings;
  NodeLogicInterface& m_brain;
  TableService& m_table;

  // Handed in while actions were carried out.
  std::deque<NodeEvent> m_events;
  bool m_is_handling = false;

  NodeStreamClient m_client;
  TargetClient m_target;
  OwnerWorks m_works;
  ControlWorks m_controls;
  EntryCalls m_calls;
  NodeStreamServer m_streams;
  CallerServer m_callers;
  DatagramSocket m_gossip;
  OperatorServer m_operators;
  TargetServer m_targets;
  Prober m_prober;

  boost::asio::steady_timer m_wakeup_timer;
  TimePoint m_armed = TimePoint::max();
  boost::asio::steady_timer m_stall_timer;
  boost::asio::steady_timer m_exit_timer;
  boost::asio::steady_timer m_leave_timer;
  bool m_is_shutting_down = false;
  bool m_has_ended = false;
  // Once a shutdown was asked for: when the process ends whatever is under way.
  TimePoint m_cut_at = TimePoint::max();
  std::function<void(bool is_clean)> m_on_exit;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_NODE_DRIVER_H_
