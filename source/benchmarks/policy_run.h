// Simulates one policy on a list of arrivals in virtual time. Each entry has a
// picker and each owner an admission; a simulated target is a queue with a
// service time. An event queue connects them with the delays between zones.

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

// A combination of routing and admission to compare.
struct Policy {
  std::string name;
  std::function<std::unique_ptr<TargetPicker>(const Shape&)> make_picker;
  // If empty, the target accepts every request, so that nothing is refused or
  // retried.
  std::function<std::unique_ptr<Admission>()> make_admission;
  // Whether workspace limits are enforced.
  bool has_limits = true;
  // Whether the load is read from the target's own load endpoint instead of the
  // owner's admission.
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
    // Keeps events of the same time in the order in which they were scheduled.
    std::uint64_t number = 0;
    std::function<void()> action;

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
    // Used only without admission.
    std::deque<WorkId> waiting;
    std::optional<TimePoint> admission_timer;
    bool is_drained = false;
    // Set only if the scenario has probes.
    std::unique_ptr<TargetLifecycle> lifecycle;
    std::optional<TimePoint> lifecycle_timer;
    // The last state that was reported to the entries.
    bool is_reported_serving = true;
  };

  // A call and its attempt in flight, of which there is at most one.
  struct Call {
    const Arrival* arrival = nullptr;
    std::vector<NodeId> tried;
    Dispatch dispatch;
    // Whether a retry is reserved for this call.
    bool has_retry = false;
    // Whether the call counts towards the limit of its workspace.
    bool is_admitted = false;
    bool is_done = false;
  };

  static NodeId IdOf(std::size_t node) { return NodeId(node + 1); }
  static WorkspaceName WorkspaceOf(const Arrival& arrival);

  void ScheduleAt(TimePoint when, std::function<void()> action);
  Duration DelayBetween(std::size_t from, std::size_t to) const;
  ZoneDistance DistanceBetween(std::size_t from, std::size_t to) const;
  Candidate CandidateFor(std::size_t entry, std::size_t target) const;
  void ScheduleFault();
  void SetUpLimits(std::uint64_t seed);
  void AdvanceLimits();
  void StartLifecycles();
  void Probe(std::size_t target);
  void UpdateLifecycle(std::size_t target);
  void ScheduleLifecycleTimer(std::size_t target);
  void OnCall(std::size_t call);

  void Send(std::size_t call);
  // `counter` is null for a good answer.
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
  void ScheduleAdmissionTimer(std::size_t target);
  LoadReport LoadOf(std::size_t target) const;

  Shape m_shape;
  Scenario m_scenario;
  Fault m_fault;
  bool m_has_limits = false;
  bool m_trusts_endpoints = false;
  const std::vector<Arrival>& m_arrivals;
  SeededRandomSource m_random;
  TimePoint m_now;
  std::uint64_t m_event_count = 0;
  std::priority_queue<Event> m_events;
  std::vector<Entry> m_entries;
  std::vector<Target> m_targets;
  std::vector<Call> m_calls;
  // The limiters of all entries. Set only if the scenario has a second
  // workspace and the policy enforces limits.
  std::optional<LimiterFleet> m_limiters;
  // Offset of the clock of `m_limiters` from `m_now`. Without it, limiters
  // would see their loans as expired or far in the future.
  Duration m_limiter_clock_offset{};
  // Target index of each running work.
  std::unordered_map<WorkId, std::size_t> m_running;
  Result m_result;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_RUN_H_
