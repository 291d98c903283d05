// The state of one node, one target and one stream of `fleet.h`.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_PARTS_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_PARTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount::testing {

// A request that a target runs.
struct TargetRun {
  bool is_answer_begun = false;
};

struct FakeTarget {
  bool is_up = true;
  bool is_withdrawn = false;
  std::uint64_t incarnation = 1;
  // Incremented at each crash, so that answers of an earlier process are
  // dropped.
  std::uint64_t life = 1;
  Duration service_time = std::chrono::milliseconds(10);
  bool is_failing = false;
  TargetNotice notice;
  TimePoint cold_until;
  // Start times of requests within the last second, since the target turned
  // cold.
  std::deque<TimePoint> cold_starts;
  std::uint64_t heartbeats = 0;
  std::map<WorkId, TargetRun> runs;
  std::optional<TimePoint> last_run_at;
};

struct Fleet::Node {
  bool IsRunning() const { return !has_exited && !is_frozen; }

  NodeSettings settings;
  std::unique_ptr<SeededRandomSource> random;
  std::unique_ptr<NodeLogic> logic;
  // Incremented with each process.
  std::uint64_t life = 0;
  bool is_frozen = false;
  bool was_frozen = false;
  bool has_exited = false;
  bool is_gossip_lost = false;
  bool is_refused_at_table = false;
  // Last result of NodeLogic::NextWakeup, which changes only with events.
  TimePoint next_wakeup;
  TimePoint processor_free_at;
  // Actions that are not yet carried out.
  std::deque<NodeAction> actions;
  std::optional<std::size_t> freeze_after;
  // Events that arrived while the process was frozen.
  std::deque<NodeEvent> waiting;
  FakeTarget target;
};

// A watch without an answer yet.
struct Fleet::OpenWatch {
  std::size_t node = 0;
  std::uint64_t life = 0;
  TableRequestId request;
  TableWatch watch;
};

struct Fleet::Stream {
  std::size_t entry = 0;
  std::uint64_t entry_life = 0;
  CallId call;
  AttemptNumber attempt;
  std::size_t owner = 0;
  std::uint64_t owner_life = 0;
  WorkId work;
  WorkHead head;
  LoadReport load;
  int status = 0;
  TargetKey target;
  TargetNotice notice;
  bool is_closed = false;
};

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_FLEET_PARTS_H_
