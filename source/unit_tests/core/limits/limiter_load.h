// Simulated callers of one workspace at the entries of a LimiterFleet.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_LOAD_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_LOAD_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include "unit_tests/core/limits/limiter_fleet.h"

namespace bulrushmount {

class LimiterLoad {
 public:
  LimiterLoad(LimiterFleet& fleet,
              WorkspaceName workspace,
              const WorkspaceLimits& limits,
              double units = 1,
              Duration service_time = std::chrono::milliseconds(20))
      : m_fleet(fleet),
        m_workspace(std::move(workspace)),
        m_units(units),
        m_service_time(service_time),
        m_meter(limits.units_per_second),
        m_due(fleet.size(), 0),
        m_process_of(fleet.size()),
        m_admitted(fleet.size(), 0),
        m_refused(fleet.size(), 0),
        m_in_flight(fleet.size(), 0) {}

  // Makes one call now at entry `index`.
  Reason Call(std::size_t index) {
    if (!m_fleet.IsRunning(index))
      return Reason::kNodeUnreachable;
    DropCallsOfEarlierProcess(index);
    const TimePoint now = m_fleet.now();
    const Reason reason =
        m_fleet.node(index).TryAdmit(now, m_workspace, m_units);
    if (reason != Reason::kNone) {
      ++m_refused[index];
      return reason;
    }
    ++m_admitted[index];
    ++m_in_flight[index];
    m_meter.OnAdmitted(now, m_units);
    m_running.emplace(now + m_service_time,
                      std::pair(index, m_fleet.PeerOf(index).id));
    m_worst_in_flight = std::max(m_worst_in_flight, InFlight());
    return reason;
  }

  // Makes `rates[i]` calls per second at entry i, evenly spaced.
  void Run(Duration duration, const std::vector<double>& rates) {
    const TimePoint end = m_fleet.now() + duration;
    while (m_fleet.now() < end) {
      m_fleet.Advance(LimiterFleet::kStep);
      EndCalls();
      for (std::size_t index = 0; index < rates.size(); ++index) {
        m_due[index] += rates[index] * ToSeconds(LimiterFleet::kStep);
        for (; m_due[index] >= 1; m_due[index] -= 1)
          Call(index);
      }
    }
  }

  double admitted(std::size_t index) const { return m_admitted[index]; }
  double admitted() const {
    return std::accumulate(m_admitted.begin(), m_admitted.end(), 0.0);
  }
  double refused() const {
    return std::accumulate(m_refused.begin(), m_refused.end(), 0.0);
  }
  void Reset() {
    std::fill(m_admitted.begin(), m_admitted.end(), 0);
    std::fill(m_refused.begin(), m_refused.end(), 0);
    m_meter.ResetWorst();
    m_worst_in_flight = 0;
  }
  const ReferenceMeter& meter() const { return m_meter; }
  std::size_t worst_in_flight() const { return m_worst_in_flight; }

 private:
  std::size_t InFlight() const {
    return std::accumulate(m_in_flight.begin(), m_in_flight.end(),
                           std::size_t{0});
  }

  // A restarted node has none of the calls of its earlier process.
  void DropCallsOfEarlierProcess(std::size_t index) {
    const NodeId id = m_fleet.PeerOf(index).id;
    if (m_process_of[index] != id)
      m_in_flight[index] = 0;
    m_process_of[index] = id;
  }

  void EndCalls() {
    while (!m_running.empty() && m_running.begin()->first <= m_fleet.now()) {
      const auto [index, id] = m_running.begin()->second;
      m_running.erase(m_running.begin());
      if (m_fleet.PeerOf(index).id != id || m_process_of[index] != id)
        continue;
      --m_in_flight[index];
      m_fleet.node(index).OnCallEnded(m_fleet.now(), m_workspace);
    }
  }

  LimiterFleet& m_fleet;
  WorkspaceName m_workspace;
  double m_units;
  Duration m_service_time;
  ReferenceMeter m_meter;
  std::vector<double> m_due;
  std::vector<NodeId> m_process_of;
  std::vector<double> m_admitted;
  std::vector<double> m_refused;
  std::vector<std::size_t> m_in_flight;
  std::multimap<TimePoint, std::pair<std::size_t, NodeId>> m_running;
  std::size_t m_worst_in_flight = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_LOAD_H_
