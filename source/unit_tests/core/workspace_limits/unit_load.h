// Simulated callers of one workspace at the entries of a UnitFleet, with the
// meter of its bound.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_LOAD_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "unit_tests/core/workspace_limits/unit_fleet.h"
#include "unit_tests/core/workspace_limits/window_meter.h"

namespace bulrushmount {

// Calls of all workspaces at one fleet; one call of `Step` per step of the
// fleet.
class UnitLoad {
 public:
  struct Source {
    WorkspaceName workspace;
    // Calls per second at each entry.
    std::vector<double> rates;
  };

  struct Tally {
    explicit Tally(Duration window) : meter(window) {}
    WindowMeter meter;
    std::size_t calls = 0;
    std::size_t admitted = 0;
    std::size_t refused = 0;
    Duration longest_wait{};
    Duration longest_retry_after{};
  };

  UnitLoad(UnitFleet& fleet, std::uint64_t seed)
      : m_fleet(fleet), m_random(seed) {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      m_listeners.push_back(std::make_unique<Listener>(*this, index));
      fleet.SetListener(index, m_listeners.back().get());
    }
  }
  ~UnitLoad() {
    for (std::size_t index = 0; index < m_fleet.size(); ++index)
      m_fleet.SetListener(index, nullptr);
  }

  void SetSources(std::vector<Source> sources) {
    m_sources = std::move(sources);
  }

  Tally& TallyOf(const WorkspaceName& workspace) {
    return m_tallies.try_emplace(workspace, Tally(m_fleet.settings().window))
        .first->second;
  }

  // Makes one call now.
  void Call(std::size_t index, const WorkspaceName& workspace) {
    if (!m_fleet.IsRunning(index))
      return;
    Tally& tally = TallyOf(workspace);
    ++tally.calls;
    const CallId call(++m_last_call);
    m_held[call] = {workspace, m_fleet.now()};
    const UnitDecision decision =
        m_fleet.node(index).Admit(m_fleet.now(), call, workspace);
    if (decision.verdict != UnitVerdict::kHeld)
      OnDecision(m_fleet.now(), call, decision);
  }

  void Run(Duration duration) {
    for (const TimePoint end = m_fleet.now() + duration; m_fleet.now() < end;)
      Step();
  }

  void Step() {
    m_fleet.Step();
    for (const Source& source : m_sources) {
      for (std::size_t index = 0; index < source.rates.size(); ++index) {
        // At most one call per step, which limits a rate to 1,000 per second.
        if (m_random.Fraction() <
            source.rates[index] * ToSeconds(UnitFleet::kStep))
          Call(index, source.workspace);
      }
    }
  }

 private:
  struct Held {
    WorkspaceName workspace;
    TimePoint since;
  };

  class Listener : public UnitListener {
   public:
    Listener(UnitLoad& load, std::size_t index) : m_load(load) {}

    void OnUnitDecision(TimePoint now,
                        CallId call,
                        const UnitDecision& decision) override {
      m_load.OnDecision(now, call, decision);
    }

   private:
    UnitLoad& m_load;
  };

  void OnDecision(TimePoint now, CallId call, const UnitDecision& decision) {
    const auto found = m_held.find(call);
    if (found == m_held.end())
      return;
    Tally& tally = TallyOf(found->second.workspace);
    tally.longest_wait =
        std::max(tally.longest_wait, now - found->second.since);
    m_held.erase(found);
    if (decision.verdict == UnitVerdict::kAdmitted) {
      ++tally.admitted;
      tally.meter.OnForwarded(now);
    } else {
      ++tally.refused;
      tally.longest_retry_after =
          std::max(tally.longest_retry_after, decision.retry_after);
    }
  }

  UnitFleet& m_fleet;
  SeededRandomSource m_random;
  std::vector<std::unique_ptr<Listener>> m_listeners;
  std::vector<Source> m_sources;
  std::unordered_map<WorkspaceName, Tally> m_tallies;
  std::unordered_map<CallId, Held> m_held;
  std::uint64_t m_last_call = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_LOAD_H_
