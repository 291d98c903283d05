// A fleet of whole nodes in virtual time that counts what each costs: processor
// time by event, datagrams by kind, table requests by prefix. Unlike the unit
// tests' fleet it keeps a queue of wakeups, so that a thousand nodes can run.

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

// Processor time of one kind of event, without that of reading the clock.
struct EventCost {
  std::uint64_t count = 0;
  std::uint64_t total_ns = 0;
  std::uint64_t longest_ns = 0;
};

inline constexpr std::size_t kEventKinds = std::variant_size_v<NodeEvent>;
inline constexpr std::size_t kDatagramKinds = 5;

// Bytes are counted with IP and UDP headers.
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

// Everything since the last ResetCounts().
struct NetworkCounts {
  std::array<EventCost, kEventKinds> events{};
  // NodeLogic::NextWakeup, asked once after each event.
  EventCost next_wakeup;
  std::vector<NodeTraffic> traffic;
  std::map<std::string, TableCount> table;
  std::uint64_t most_reads_in_a_second = 0;
  std::uint64_t calls = 0;
  // Final refusals by reason, and refusals by owners, after which the entry
  // may try another.
  std::map<std::string, std::uint64_t> refused;
  std::uint64_t refused_by_owners = 0;
  std::uint64_t lost_attempts = 0;
  std::uint64_t answered = 0;
};

struct NetworkSettings {
  std::size_t nodes = 10;
  std::size_t services = 1;
  std::size_t workspaces = 1;
  std::uint64_t seed = 1;
};

class NodeNetwork {
 public:
  static constexpr std::size_t kRegions = 3;
  static constexpr std::size_t kZones = 8;

  explicit NodeNetwork(const NetworkSettings& settings);
  ~NodeNetwork();

  // Creates all nodes; on a later call anew, with new ids, beside the same
  // targets and with the same table.
  void StartAll();
  // Tells each node the records of all others, as they are after
  // `incarnation - 1` changes of themselves.
  void Acquaint(std::uint64_t incarnation, bool is_warming);
  // Writes one contract for each workspace by the first node; false if one was
  // not answered in 30 s.
  bool WriteContracts();

  void Run(Duration span);
  // Calls a second at each entry, Poisson; 0 ends them.
  void SetLoad(double calls_per_second);
  // One call at a node's entry and one work at its owner side, each answered at
  // once, with no other node in between: their cost with warm caches. What the
  // node sends meanwhile is dropped. False if either was refused.
  bool ExerciseCall(std::size_t node);
  void SetTableDelay(Duration delay) { m_table_delay = delay; }
  // Machines that are gone without a word.
  void StopZone(std::size_t zone);

  std::size_t CountReady() const;
  // Live members as the node itself counts them.
  std::size_t MembersAt(std::size_t node) const;
  std::size_t CountRunning() const;
  bool IsRunning(std::size_t node) const;

  TimePoint now() const { return m_now; }
  std::size_t size() const { return m_nodes.size(); }
  const NodeLogic& logic(std::size_t node) const;
  const NetworkCounts& counts() const { return m_counts; }
  void ResetCounts();

 private:
  struct Node {
    NodeSettings settings;
    std::unique_ptr<SeededRandomSource> random;
    std::unique_ptr<NodeLogic> logic;
    TimePoint wakeup;
    bool is_stopped = false;
    std::uint64_t life = 0;
  };
  struct Attempt {
    std::size_t entry = 0;
    CallId call;
    AttemptNumber attempt;
  };
  // What is due at a moment: an event for a node, or one of the network's own.
  struct NextCall {};
  struct Announce {};
  struct TableArrival {
    TableRequestId id;
    TableRequest request;
  };
  struct Step {
    std::size_t node = 0;
    std::uint64_t life = 0;
    std::variant<NodeEvent, NextCall, Announce, TableArrival> what;
  };

  static std::string ServiceOf(std::size_t node, std::size_t services);
  Member RecordOf(std::size_t node,
                  std::uint64_t incarnation,
                  bool is_warming) const;
  void StartNode(std::size_t index);
  void Schedule(Duration delay, Step step);
  void Schedule(Duration delay, std::size_t node, NodeEvent event);
  void Take(Step step);
  void Deliver(std::size_t node, NodeEvent event);
  void AskWakeup(std::size_t index);
  CallArrived MakeCall(std::size_t workspace);
  std::vector<NodeAction> Handle(std::size_t node, NodeEvent event);
  void SendCall(std::size_t node);
  void AnnounceTarget(std::size_t node);
  void ServeTable(std::size_t node, const TableArrival& arrival);
  void CountTable(const TableRequest& request);
  Duration Delay(std::size_t from, std::size_t to) const;

  void Do(std::size_t node, DispatchAttempt action);
  void Do(std::size_t node, const HandToTarget& action);
  void Do(std::size_t node, const RefuseWork& action);
  void Do(std::size_t node, const RelayWork& action);
  void Do(std::size_t node, const FailWork& action);
  void Do(std::size_t node, const AnswerCaller& action);
  void Do(std::size_t node, const SendProbe& action);
  void Do(std::size_t node, SendDatagram action);
  void Do(std::size_t node, SubmitTableRequest action);
  void Do(std::size_t node, const AnswerOperator& action);
  // Of no consequence here: nothing is cancelled, and bodies are not modelled.
  template <typename Other>
  void Do(std::size_t, const Other&) {}

  NetworkSettings m_settings;
  SeededRandomSource m_random;
  TimePoint m_now;
  std::vector<Node> m_nodes;
  std::unordered_map<std::string, std::size_t> m_by_ip;
  std::unordered_map<std::uint64_t, std::size_t> m_by_id;
  std::multimap<TimePoint, Step> m_steps;
  std::set<std::pair<TimePoint, std::size_t>> m_wakeups;
  std::unordered_map<std::uint64_t, Attempt> m_attempts;
  InMemoryTable m_table;
  Duration m_table_delay = std::chrono::milliseconds(3);
  double m_calls_per_second = 0;
  std::optional<AnswerOperator> m_operator_answer;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_clock_ns = 0;
  NetworkCounts m_counts;
  std::int64_t m_second = 0;
  std::uint64_t m_reads_in_second = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_NODE_NETWORK_H_
