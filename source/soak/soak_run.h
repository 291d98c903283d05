// One soak: a fleet under traffic, a schedule of faults, and what the ledgers
// say at the end.

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
#include "soak/verdicts.h"

namespace bulrushmount::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::minutes(1);
  std::size_t nodes = 5;
  // Traffic only: for figures of a fleet without faults.
  bool is_calm = false;
  // At each node at any moment.
  std::size_t calls_each = 3;
  std::string program;
  std::string settings_template;
  // For settings and logs.
  std::string folder;
};

struct SoakResult {
  std::vector<std::string> broken;
  // Key=value, one line.
  std::string figures;
};

class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);

  SoakResult Play();

 private:
  using Action = std::function<void()>;

  struct DueAction {
    TimePoint at;
    // Keeps the order of those due together.
    std::uint64_t number = 0;
    Action action;

    friend bool operator>(const DueAction& one, const DueAction& other) {
      return std::pair(one.at, one.number) > std::pair(other.at, other.number);
    }
  };

  void StartFleet();
  bool WaitUntilServing();
  void After(Duration delay, Action action);
  // Until nothing is due before `end`.
  void PlayUntil(TimePoint end);

  void Cause(const Fault& fault);
  void StartNode(std::size_t index);
  void KillNode(const Fault& fault);
  void FreezeNode(const Fault& fault);
  void TerminateNode(const Fault& fault);
  void AwaitExit(std::size_t index, TimePoint terminated_at, Duration pause);
  bool HasEndedWell(std::size_t index);
  void CrashServer(const Fault& fault);
  void HangServer(const Fault& fault);
  void DrainServer(const Fault& fault);
  void AwaitDrain(std::size_t index, TimePoint began, Duration pause);
  void FailStore(const Fault& fault);
  void FailLink(const Fault& fault, LinkState state);
  void MoveRoutes();
  void RecordFailure(const std::string& what) { m_broken.push_back(what); }

  // Undoes all and waits until every node serves the newest routes again.
  void Heal();
  void EndFleet();
  void MakeCall(platform::ClientCall& call);
  std::string Document() const;
  std::string Figures(const SoakRecord& record);

  SoakOptions m_options;
  std::unique_ptr<platform::NodeFleet> m_fleet;
  // Of the traffic; the schedule has its own.
  SeededRandomSource m_random;
  std::priority_queue<DueAction, std::vector<DueAction>, std::greater<>> m_due;
  std::uint64_t m_last_action = 0;
  SoakRecord m_record;
  std::vector<std::string> m_broken;
  std::size_t m_caused = 0;

  struct NodeState {
    // Ended by the soak, and not started again yet.
    bool is_down = false;
    bool is_frozen = false;
    bool is_leaving = false;
    // It did not run for a part of its time to leave.
    bool was_frozen_leaving = false;
    // Of its server: gone, or on its way.
    bool is_server_away = false;
    // Faults under way that hold a link or the store.
    std::map<platform::Link, std::size_t> link_faults;
    std::size_t store_faults = 0;
  };
  std::vector<NodeState> m_nodes;
  // Read on the loop of the fleet's clients too.
  std::atomic<std::uint64_t> m_version = 1;
};

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_SOAK_RUN_H_
