// Simulates several nodes with targets and a table, connected by an event queue
// in virtual time. Nodes can be stopped, frozen or disconnected between any two
// actions. The recorded runs of the targets show what was executed.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/node_logic/node_logic.h"
#include "core/node_logic/node_settings.h"
#include "core/routes/route_document.h"
#include "unit_tests/core/common/virtual_time.h"
#include "unit_tests/core/node_logic/notice_ledger.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount::testing {

// The result of a call as its caller saw it.
struct CallerView {
  std::string request_id;
  TimePoint sent_at;
  Duration deadline{};
  std::size_t entry = 0;
  std::optional<IdempotencyKey> key;
  std::optional<Outcome> outcome;
  Reason reason = Reason::kNone;
  // Status of the answer; 0 without one.
  int status = 0;
  TimePoint answered_at;
  // The connection of the caller was closed without a complete answer: the
  // entry was killed or ended the answer early, or the caller gave up.
  bool is_connection_closed = false;
};

// Targets that are cold after a start and crash above a request rate during
// that time.
struct ColdTargets {
  Duration cold_time = std::chrono::seconds(3);
  // Service time of a request while cold, as a multiple of the usual one.
  double slowdown = 2.0;
  // More requests than this within a second crash a cold target.
  std::size_t crash_above = 0;
  // Time from a crash to the next start.
  Duration down_time = std::chrono::seconds(1);
};

struct FleetOptions {
  // The service of the target of each node.
  std::vector<std::string> services;
  std::uint32_t slots = 4;
  // Number of availability zones; nodes are assigned in turn.
  std::size_t zones = 2;
  // A restarted node keeps the address of its predecessor.
  bool keeps_addresses = false;
  // Settings of every node; the fleet sets ids, addresses and zones.
  NodeSettings settings;
  // Decodes the routing document; null without one.
  const RouteDocumentDecoder* decoder = nullptr;
  std::string document;
  // If set, targets have ids, send heartbeats and are cold after each start but
  // the first. Otherwise they announce themselves.
  std::optional<ColdTargets> cold{};
  // Processor time that an owner needs for each arriving request and for each
  // answer of its target.
  Duration handling_time{};
};

class Fleet {
 public:
  // Assigns nodes to zones in turn, each with a target of `service`.
  Fleet(std::size_t nodes, std::uint64_t seed, const std::string& service);
  Fleet(FleetOptions options, std::uint64_t seed);
  ~Fleet();

  // Writes a contract through the first node and waits until it is in force at
  // all nodes.
  void WriteContract(const std::string& workspace, const std::string& yaml);

  // Advances the time by `duration`.
  void Run(Duration duration);
  // Runs until `condition` holds; false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // A caller sends a request; returns its index in `calls()`.
  std::size_t Send(std::size_t entry, CallHead head);
  CallHead MakeHead(const std::string& workspace,
                    const std::string& method,
                    const std::string& target);
  // The caller closes its connection.
  void Abandon(std::size_t call);

  // Kills the process, which closes its connections. A replacement with a new
  // id starts at once for the same target.
  void Kill(std::size_t node);
  // Freezes the process after `actions` more actions have been carried out.
  // Events for it are queued.
  void Freeze(std::size_t node, std::size_t actions = 0);
  void Resume(std::size_t node);
  // All nodes and targets lose power, and start again after `down`.
  void PowerOffAll(Duration down);
  // The targets of a zone turn cold and report it with their next heartbeat and
  // in answers to probes.
  void CoolDown(const std::string& zone);
  // Maximum number of requests that a cold target got within a second.
  std::size_t max_rate_at_cold_target() const {
    return m_max_rate_at_cold_target;
  }
  // Kills all processes at once and restarts each after `down` plus up to a
  // third of a second.
  void RestartAll(Duration down);
  // Drops all datagrams from and to the node.
  void SetGossipLost(std::size_t node, bool is_lost);
  FakeTableService& table() { return m_table; }
  // The table refuses all requests of the node.
  void RefuseAtTable(std::size_t node, bool is_refused);
  // Requests that nodes sent to the table, including watches and refused ones.
  std::size_t table_calls() const { return m_table_calls; }
  // Writes a new routing document as the operator.
  void WriteDocument(const std::string& text);
  // Begins or ends the evacuation of a zone as the operator.
  void SetEvacuated(const std::string& zone, bool is_evacuated);
  // Restores the table from a copy and breaks open watches.
  void RestoreTable(const InMemoryTable& copy);
  // The target crashes and announces itself again shortly afterwards.
  void CrashTarget(std::size_t node);
  void WithdrawTarget(std::size_t node);
  void SetServiceTime(std::size_t node, Duration service_time);
  // The target answers every request with a fast error.
  void SetFailing(std::size_t node, bool is_failing);
  // From now on, the target states this in all its answers, while it continues
  // to announce itself.
  void SetNotice(std::size_t node, const TargetNotice& notice);
  const NoticeLedger& notices() const { return m_notices; }
  // The target of the node answers a request that is not part of `calls()` with
  // an error.
  void FailRequest(std::size_t node);
  void Shutdown(std::size_t node);

  // A request with this method crashes its target.
  static constexpr char kPoisonMethod[] = "POISON";
  // Any target answers a request with this method with a fast error.
  static constexpr char kFailMethod[] = "FAIL";

  const std::deque<CallerView>& calls() const { return m_calls; }
  TimePoint now() const { return m_time.now(); }
  std::size_t size() const { return m_nodes.size(); }
  NodeLogic& logic(std::size_t node);
  bool has_exited(std::size_t node) const;
  // Whether the node was ever frozen.
  bool WasEverFrozen(std::size_t node) const;

  // How often targets ran a request, by request id.
  std::size_t RunsOf(const std::string& request_id) const;
  // How often targets ran requests with this idempotency key.
  std::size_t RunsOfKey(const std::string& key) const;
  std::size_t crashes() const { return m_crashes; }
  // Requests that were sent to owners.
  std::size_t dispatches() const { return m_dispatches; }
  // When the target last received a request.
  std::optional<TimePoint> LastRunAt(std::size_t node) const;
  const std::vector<TimePoint>& probes() const { return m_probes; }

 private:
  struct Node;
  struct OpenWatch;
  // An attempt between its entry and its owner.
  struct Stream;

  void Deliver(std::size_t node, NodeEvent event);
  void Handle(Node& node, NodeEvent event);
  void CarryOut(std::size_t index);
  void StartNode(std::size_t index);
  void StopNode(std::size_t index);
  void Announce(std::size_t index);
  void SendHeartbeat(std::size_t index);
  void StartTarget(std::size_t index);
  TargetKey TargetKeyOf(std::size_t index) const;
  std::string InstanceOf(std::size_t index) const;
  Duration ColdTimeLeft(std::size_t index) const;
  // Whether the request that has just arrived exceeds the rate of a cold
  // target.
  bool ExceedsColdRate(std::size_t index);
  std::optional<std::size_t> FindNode(const Endpoint& gossip) const;

  void Do(std::size_t node, const DispatchAttempt& action);
  void Do(std::size_t node, const CancelAttempt& action);
  void Do(std::size_t node, const RelayAnswer& action);
  void Do(std::size_t node, const AnswerCaller& action);
  void Do(std::size_t node, const ReplayAnswer& action);
  void Do(std::size_t node, const AbortAnswer& action);
  void Do(std::size_t node, const HandToTarget& action);
  void Do(std::size_t node, const RefuseWork& action);
  void Do(std::size_t node, const RelayWork& action);
  void Do(std::size_t node, const FailWork& action);
  void Do(std::size_t node, const CancelWork& action);
  void Do(std::size_t node, const SendProbe& action);
  void Do(std::size_t node, const SendDatagram& action);
  void Do(std::size_t node, const SubmitTableRequest& action);
  void Do(std::size_t node, const AnswerOperator& action);
  void Do(std::size_t, const UseTarget&) {}
  void Do(std::size_t, const SetCallerBounds&) {}
  void Do(std::size_t node, const ExitProcess& action);

  void SubmitToTable(std::size_t node, const SubmitTableRequest& action);
  void AddWatch(std::size_t node, const SubmitTableRequest& action);
  void WriteRows(const TableTransact& rows);
  void AnswerWatch(const OpenWatch& watch);
  void AnswerTable(const OpenWatch& watch, const TableReply& reply);

  void Answer(CallId call, Outcome outcome, Reason reason);
  void FinishRun(std::size_t node,
                 std::uint64_t target_life,
                 WorkId work,
                 int status);
  Stream* FindStream(std::size_t node, WorkId work);
  Stream* FindStream(std::size_t node, CallId call, AttemptNumber attempt);

  // When the processor of the node has finished an additional piece of work
  // that arrives at `arrival`.
  TimePoint ReserveProcessor(std::size_t node, TimePoint arrival);
  void RemoveClosedStreams();

  FleetOptions m_options;
  SeededRandomSource m_random;
  VirtualTime m_time;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::deque<CallerView> m_calls;
  std::vector<std::unique_ptr<Stream>> m_streams;
  FakeTableService m_table;
  std::deque<OpenWatch> m_watches;
  std::size_t m_table_calls = 0;
  std::map<std::string, std::size_t> m_runs;
  std::map<std::string, std::size_t> m_runs_of_key;
  std::map<std::string, std::string> m_key_of_request;
  std::size_t m_crashes = 0;
  std::size_t m_max_rate_at_cold_target = 0;
  std::size_t m_dispatches = 0;
  std::vector<TimePoint> m_probes;
  NoticeLedger m_notices;
  std::optional<AnswerOperator> m_operator_answer;
  std::uint64_t m_last_id = 0;
};

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_H_
