// Simulates a fleet of complete nodes in virtual time and measures the cost of
// each: processor time by event, datagrams by kind, table requests by key
// prefix. Unlike the fleet of the unit tests it keeps the wakeups in a queue,
// so that it can run a thousand nodes.

#ifndef BULRUSHMOUNT_BENCHMARKS_NODE_NETWORK_H_
#define BULRUSHMOUNT_BENCHMARKS_NODE_NETWORK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/membership/member.h"
#include "core/node_logic/node_logic.h"
#include "core/store/in_memory_table.h"

namespace bulrushmount {

// Processor time spent on one kind of event, without the time for reading the
// clock.
struct EventCost {
  std::uint64_t count = 0;
  std::uint64_t total_ns = 0;
  std::uint64_t longest_ns = 0;
};

inline constexpr std::size_t kEventKinds = std::variant_size_v<NodeEvent>;
inline constexpr std::size_t kDatagramKinds = 5;

// Bytes include IP and UDP headers.
struct DatagramCount {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
};

struct NodeTraffic {
  std::array<DatagramCount, kDatagramKinds> sent{};
  std::array<DatagramCount, kDatagramKinds> received{};
};

struct TableCount {
  std::uint64_t reads = 0;
  std::uint64_t transactions = 0;
  std::uint64_t rows_written = 0;
};

// Counts since the last `ResetCounts`.
struct NetworkCounts {
  std::array<EventCost, kEventKinds> events{};
  // Cost of `NodeLogic::NextWakeup`, which is called once after each event.
  EventCost next_wakeup;
  // By node.
  std::vector<NodeTraffic> traffic;
  // Sent to another availability zone, by kind.
  std::array<DatagramCount, kDatagramKinds> between_zones{};
  // By key prefix.
  std::map<std::string, TableCount> table;
  std::uint64_t max_reads_per_second = 0;
  std::uint64_t calls = 0;
  // Refusals sent to callers, by reason.
  std::map<std::string, std::uint64_t> refused;
  // Attempts refused by owners. The entry may then try another owner.
  std::uint64_t refused_by_owners = 0;
  std::uint64_t lost_attempts = 0;
  std::uint64_t answered = 0;
};

struct NetworkSettings {
  std::size_t nodes = 10;
  std::size_t services = 1;
  std::size_t workspaces = 1;
  std::uint64_t seed = 1;
  // Nodes are assigned to zones in turn, and zones to regions.
  std::size_t zones = 8;
  std::size_t regions = 3;
};

class NodeNetwork {
 public:
  explicit NodeNetwork(const NetworkSettings& settings);
  ~NodeNetwork();

  // Starts a process for each node. A further call replaces all processes by
  // new ones with new ids; the targets and the table stay.
  void StartAll();
  // Delivers the member records of all nodes to each node, as of `incarnation`.
  void DistributeMemberRecords(std::uint64_t incarnation, bool is_warming);
  // Writes one contract for each workspace through the first node. Returns
  // false if a write failed or got no answer within 30 s.
  bool WriteContracts();
  // Writes a contract of about `bytes` for the first workspace.
  bool WriteDocument(std::size_t bytes);

  void Run(Duration span);
  // Sets the rate of the Poisson process of calls at each entry; 0 stops it.
  void SetLoad(double calls_per_second);
  // Runs one call through the entry side of a node and one work through its
  // owner side, without another node and with immediate answers. This measures
  // their cost with warm caches. Drops everything else that the node sends.
  // Returns false if the call or the work was refused.
  bool RunCallOnNode(std::size_t node);
  void SetTableDelay(Duration delay) { m_table_delay = delay; }
  // Stops all nodes of the zone without notice to the others.
  void StopZone(std::size_t zone);

  std::size_t CountReady() const;
  // Number of live members according to the node's own metrics.
  std::size_t MembersAt(std::size_t node) const;
  std::size_t CountRunning() const;
  bool IsRunning(std::size_t node) const;

  TimePoint now() const { return m_now; }
  std::size_t size() const { return m_nodes.size(); }
  const NodeLogic& logic(std::size_t node) const;
  const NetworkCounts& counts() const { return m_counts; }
  void ResetCounts();

 private:
  // A node and its current process.
  struct Node {
    NodeSettings settings;
    std::unique_ptr<SeededRandomSource> random;
    std::unique_ptr<NodeLogic> logic;
    TimePoint wakeup;
    bool is_stopped = false;
    // Increments with each start.
    std::uint64_t process_number = 0;
  };
  // The attempt of an entry that a work belongs to.
  struct Attempt {
    std::size_t entry = 0;
    CallId call;
    AttemptNumber attempt;
  };
  // The next call of the load is due at a node.
  struct CallDue {};
  // The next announcement of a target is due.
  struct AnnouncementDue {};
  struct TableRequestArrived {
    TableRequestId id;
    TableRequest request;
  };
  // An event of a node or of the simulation. It is dropped if the node's
  // process has stopped or was replaced before the event is due.
  struct ScheduledEvent {
    std::size_t node = 0;
    std::uint64_t process_number = 0;
    std::variant<NodeEvent, CallDue, AnnouncementDue, TableRequestArrived>
        payload;
  };

  static std::string ServiceOf(std::size_t node, std::size_t services);
  Member RecordOf(std::size_t node,
                  std::uint64_t incarnation,
                  bool is_warming) const;
  void StartNode(std::size_t index);
  bool Write(const std::string& workspace, std::string text);
  void Schedule(Duration delay, ScheduledEvent scheduled);
  void Schedule(Duration delay, std::size_t node, NodeEvent event);
  void HandleScheduled(ScheduledEvent scheduled);
  void Deliver(std::size_t node, NodeEvent event);
  void UpdateWakeup(std::size_t index);
  CallArrived MakeCall(std::size_t workspace);
  // Passes the event to the node's logic and measures the processor time.
  std::vector<NodeAction> Handle(std::size_t node, NodeEvent event);
  void SendCall(std::size_t node);
  void AnnounceTarget(std::size_t node);
  void ServeTable(std::size_t node, const TableRequestArrived& arrival);
  void CountTable(const TableRequest& request);
  Duration DelayBetween(std::size_t from, std::size_t to) const;

  void Perform(std::size_t node, DispatchAttempt action);
  void Perform(std::size_t node, const HandToTarget& action);
  void Perform(std::size_t node, const RefuseWork& action);
  void Perform(std::size_t node, const RelayWork& action);
  void Perform(std::size_t node, const FailWork& action);
  void Perform(std::size_t node, const AnswerCaller& action);
  void Perform(std::size_t node, const SendProbe& action);
  void Perform(std::size_t node, SendDatagram action);
  void Perform(std::size_t node, SubmitTableRequest action);
  void Perform(std::size_t node, const AnswerOperator& action);
  // Ignores the other actions: nothing is cancelled here, and bodies are not
  // simulated.
  template <typename Other>
  void Perform(std::size_t, const Other&) {}

  NetworkSettings m_settings;
  SeededRandomSource m_random;
  TimePoint m_now;
  std::vector<Node> m_nodes;
  std::unordered_map<std::string, std::size_t> m_node_by_ip;
  std::unordered_map<std::uint64_t, std::size_t> m_node_by_id;
  std::multimap<TimePoint, ScheduledEvent> m_scheduled;
  std::set<std::pair<TimePoint, std::size_t>> m_wakeups;
  // By the id of the work.
  std::unordered_map<std::uint64_t, Attempt> m_attempts;
  InMemoryTable m_table;
  Duration m_table_delay = std::chrono::milliseconds(3);
  double m_calls_per_second = 0;
  std::optional<AnswerOperator> m_operator_answer;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_clock_overhead_ns = 0;
  NetworkCounts m_counts;
  // The second of virtual time in which `m_reads_in_second` were counted.
  std::int64_t m_current_second = 0;
  std::uint64_t m_reads_in_second = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_NODE_NETWORK_H_
