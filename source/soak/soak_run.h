// Runs one soak test: starts a fleet of real nodes, sends traffic through it,
// injects a schedule of faults, and checks the ledgers at the end.

#ifndef BULRUSHMOUNT_SOAK_SOAK_RUN_H_
#define BULRUSHMOUNT_SOAK_SOAK_RUN_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "platform/stand_ins/node_fleet.h"
#include "soak/fault_schedule.h"
#include "soak/ledger_checks.h"

namespace bulrushmount::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::minutes(1);
  std::size_t nodes = 5;
  // Sends traffic but injects no faults, to measure a fleet without faults.
  bool is_without_faults = false;
  // Servers state request rates and leave in their answers.
  bool has_notices = true;
  // Clients send keys, which are withdrawn and added with each new version of
  // the routes.
  bool has_workspaces = false;
  // The number of calls in flight at each node at any moment.
  std::size_t calls_per_node = 3;
  std::string program;
  std::string settings_template;
  // The folder for settings files and logs.
  std::string folder;
};

struct SoakResult {
  // One line for each violated guarantee or failed step of the run.
  std::vector<std::string> violations;
  // One line of key=value pairs.
  std::string statistics;
};

// Owns the fleet, the scheduled actions and the record of one run.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);

  SoakResult Run();

 private:
  using Action = std::function<void()>;

  struct ScheduledAction {
    TimePoint at;
    // Orders actions that are due at the same time.
    std::uint64_t sequence_number = 0;
    Action action;

    friend bool operator>(const ScheduledAction& one,
                          const ScheduledAction& other) {
      return std::pair(one.at, one.sequence_number) >
             std::pair(other.at, other.sequence_number);
    }
  };

  void StartFleet();
  bool WaitUntilServing();
  void ScheduleAfter(Duration delay, Action action);
  // Runs scheduled actions until `end`, and restarts nodes that have exited
  // unexpectedly.
  void RunUntil(TimePoint end);

  void InjectFault(const Fault& fault);
  void StartNode(std::size_t index);
  void KillNode(const Fault& fault);
  void FreezeNode(const Fault& fault);
  void TerminateNode(const Fault& fault);
  void AwaitExit(std::size_t index, TimePoint terminated_at, Duration pause);
  bool HasExitedAsExpected(std::size_t index);
  void CrashServer(const Fault& fault);
  void HangServer(const Fault& fault);
  void DrainServer(const Fault& fault);
  void AwaitDrain(std::size_t index, TimePoint began, Duration pause);
  void LimitServers(const Fault& fault);
  void LimitServer(std::size_t index, const Fault& fault);
  void LeaveByAnswers(const Fault& fault);
  // The process with this id states this in its answers from now on.
  void StateNotice(std::size_t index, const StatedNotice& notice);
  // The node is not bound by the notices that it has relayed so far.
  void RecordDisturbance(std::size_t node) {
    m_record.disturbances[node].push_back(Now());
  }
  void InjectStoreFault(const Fault& fault);
  void InjectLinkFault(const Fault& fault, LinkState state);
  void MoveRoutes();
  void RecordViolation(const std::string& what) {
    m_violations.push_back(what);
  }

  // Runs the actions that undo the remaining faults, and waits until every node
  // serves the newest routes again.
  void WaitForRecovery();
  void EndFleet();
  void MakeCall(platform::ClientCall& call);
  std::string DrawKey();
  // The key of calls that must be served.
  std::string ServedKey() const;
  std::string RoutesDocument() const;
  std::string FormatStatistics(const SoakRecord& record);

  SoakOptions m_options;
  std::unique_ptr<platform::NodeFleet> m_fleet;
  // The random source of the traffic; the schedule has its own.
  SeededRandomSource m_random;
  // The random source of the keys, so that the rest of the traffic does not
  // depend on them.
  SeededRandomSource m_key_random;
  std::priority_queue<ScheduledAction,
                      std::vector<ScheduledAction>,
                      std::greater<>>
      m_scheduled;
  std::uint64_t m_last_sequence_number = 0;
  SoakRecord m_record;
  std::vector<std::string> m_violations;
  std::size_t m_injected_faults = 0;

  struct NodeState {
    // The soak has ended the process and has not restarted it yet.
    bool is_down = false;
    bool is_frozen = false;
    bool is_leaving = false;
    // The process was frozen for a part of its leave time.
    bool was_frozen_while_leaving = false;
    // The node's server is stopped or is draining.
    bool is_server_leaving_or_down = false;
    // The number of active faults of each link and of the table service.
    std::map<platform::Link, std::size_t> link_faults;
    std::size_t store_faults = 0;
  };
  std::vector<NodeState> m_nodes;
  // The newest version of the routes; also read on the event loop of the
  // fleet's clients.
  std::atomic<std::uint64_t> m_version = 1;
};

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_SOAK_RUN_H_
