// Runs one policy over the arrivals: entries with a picker each, owners with an
// admission each, and fake targets that are a queue and a service time, joined
// by an event queue with the delays of the zones.

#ifndef BULRUSHMOUNT_BENCHMARKS_POLICY_RUN_H_
#define BULRUSHMOUNT_BENCHMARKS_POLICY_RUN_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/policy_workload.h"
#include "core/admission/admission.h"
#include "core/common/random.h"
#include "core/routing/decaying_retry_budget.h"
#include "core/routing/target_picker.h"
#include "core/target_state/target_lifecycle.h"
#include "unit_tests/core/limits/limiter_fleet.h"

namespace bulrushmount {

inline const ServiceName kService("service");

struct Policy {
  std::string name;
  std::function<std::unique_ptr<TargetPicker>(const Shape&)> make_picker;
  // Without one the target takes everything, and nothing is refused or retried.
  std::function<std::unique_ptr<Admission>()> make_admission;
  // Workspaces are held to their limits.
  bool has_limits = true;
  // Takes a target's own load endpoint for the truth.
  bool trusts_endpoints = false;
};

class PolicyRun {
 public:
  PolicyRun(const Shape& shape,
            const Scenario& scenario,
            const Policy& policy,
            const std::vector<Arrival>& arrivals,
            std::uint64_t seed);

  Result Run();

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> act;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  struct Entry {
    std::unique_ptr<TargetPicker> picker;
    DecayingRetryBudget budget{DecayingRetryBudgetSettings{}};
  };

  struct Target {
    std::unique_ptr<Admission> admission;
    std::size_t running = 0;
    // Without admission only.
    std::deque<WorkId> waiting;
    std::optional<TimePoint> timer;
    bool is_drained = false;
    // With probes in the scenario only.
    std::unique_ptr<TargetLifecycle> life;
    std::optional<TimePoint> life_timer;
    // As the entries were last told.
    bool is_reported_serving = true;
  };

  // A call, and its one attempt on the way.
  struct Call {
    const Arrival* arrival = nullptr;
    std::vector<NodeId> tried;
    Dispatch dispatch;
    // A retry is reserved for it.
    bool has_retry = false;
    // Counts for its workspace's limit.
    bool is_admitted = false;
    bool is_done = false;
  };

  static NodeId IdOf(std::size_t node) { return NodeId(node + 1); }
  static WorkspaceName WorkspaceOf(const Arrival& arrival);

  void At(TimePoint when, std::function<void()> act);
  Duration DelayBetween(std::size_t from, std::size_t to) const;
  ZoneDistance DistanceBetween(std::size_t from, std::size_t to) const;
  Candidate CandidateFor(std::size_t entry, std::size_t target) const;
  void PlanFault();
  void PlanLimits(std::uint64_t seed);
  void StepLimits();
  void PlanLives();
  void Probe(std::size_t target);
  void StepLife(std::size_t target);
  void PlanLifeTimer(std::size_t target);
  void OnCall(std::size_t call);

  void Send(std::size_t call);
  void Finish(std::size_t call, std::size_t Result::*counter);
  void OnDeadline(std::size_t call);
  void OnRefusal(std::size_t call,
                 std::size_t attempt,
                 Reason reason,
                 const LoadReport& load);
  void OnAnswer(std::size_t call,
                std::size_t attempt,
                bool is_error,
                const LoadReport& load);

  void OnWork(std::size_t target, WorkId work, bool is_last);
  void OnCancel(std::size_t target, WorkId work);
  void StartWork(std::size_t target, WorkId work);
  void EndWork(std::size_t target, WorkId work, bool is_error);
  void Apply(std::size_t target, const AdmissionOutput& output);
  void PlanTimer(std::size_t target);
  LoadReport LoadOf(std::size_t target) const;

  Shape m_shape;
  Scenario m_scenario;
  Fault m_fault;
  bool m_has_limits = false;
  bool m_trusts_endpoints = false;
  const std::vector<Arrival>& m_arrivals;
  SeededRandomSource m_random;
  TimePoint m_now;
  std::uint64_t m_events_made = 0;
  std::priority_queue<Event> m_events;
  std::vector<Entry> m_entries;
  std::vector<Target> m_targets;
  std::vector<Call> m_calls;
  // Of all entries; with a second workspace only.
  std::optional<LimiterFleet> m_limiters;
  // The fleet's clock less this run's: given the wrong one, limiters would
  // take their loans for long lapsed or far in the future.
  Duration m_limiters_ahead{};
  // Works that run, by id.
  std::unordered_map<WorkId, std::size_t> m_running;
  Result m_result;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_RUN_H_
