// Several WorkspaceLimiters connected by a DatagramNetwork in virtual time, and
// the reference limiter that they are compared with.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/limits/workspace_limiter.h"
#include "unit_tests/core/limits/datagram_network.h"

namespace bulrushmount {

// A single-process reference: measures how far the admitted units exceed the
// rate. An exact global token bucket keeps this excess within the burst.
class ReferenceMeter {
 public:
  explicit ReferenceMeter(double rate) : m_rate(rate) {}

  void OnAdmitted(TimePoint now, double units) {
    m_excess = std::max(0.0, m_excess - m_rate * ToSeconds(now - m_at)) + units;
    m_at = now;
    m_worst = std::max(m_worst, m_excess);
  }

  // The largest number of units by which any window exceeded rate x window.
  double worst() const { return m_worst; }
  void ResetWorst() { m_worst = 0; }

 private:
  double m_rate;
  double m_excess = 0;
  double m_worst = 0;
  TimePoint m_at;
};

class LimiterFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(5);

  LimiterFleet(std::size_t nodes, std::uint64_t seed)
      : m_network(nodes, seed),
        m_alive(nodes, true),
        m_restarts(nodes, 0),
        m_nodes(nodes) {
    for (std::size_t index = 0; index < nodes; ++index)
      StartNode(index);
    PublishMembers();
  }

  TimePoint now() const { return m_now; }
  DatagramNetwork& network() { return m_network; }
  std::size_t size() const { return m_nodes.size(); }
  WorkspaceLimiter& node(std::size_t index) { return *m_nodes[index]; }
  bool IsRunning(std::size_t index) const {
    return m_alive[index] && !m_network.IsFrozen(index);
  }

  void SetLimits(const WorkspaceName& workspace,
                 const WorkspaceLimits& limits) {
    m_workspaces.emplace_back(workspace, limits);
    for (const auto& node : m_nodes)
      node->SetLimits(m_now, workspace, limits);
  }

  void Advance(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now = std::min(end, m_now + kStep);
      m_network.SetNow(m_now);
      Step();
    }
  }

  Peer PeerOf(std::size_t index) const {
    return {NodeId((m_restarts[index] << 16U) + index + 1),
            DatagramNetwork::EndpointOf(index)};
  }

  // Index of the home of `workspace`, as computed by the nodes of `side`.
  std::size_t HomeOf(const WorkspaceName& workspace, int side = 0) const {
    const std::vector<Peer> members = MembersOf(side);
    const Peer* home = RendezvousHome(members, KeyOf(workspace).value());
    return home->gossip.port - DatagramNetwork::kFirstPort;
  }

  // The other nodes learn of it at the next PublishMembers.
  void Kill(std::size_t index) { m_alive[index] = false; }
  void Restart(std::size_t index) {
    m_alive[index] = true;
    ++m_restarts[index];
    StartNode(index);
  }

  // Updates the member list of every running node to the live nodes of its
  // side. With `are_frozen_dead`, frozen nodes count as dead.
  void PublishMembers(bool are_frozen_dead = false) {
    for (std::size_t index = 0; index < size(); ++index) {
      if (IsRunning(index))
        PublishMembersTo(index, are_frozen_dead);
    }
  }

  void PublishMembersTo(std::size_t index, bool are_frozen_dead = false) {
    m_nodes[index]->SetMembers(
        m_now, MembersOf(m_network.SideOf(index), are_frozen_dead));
  }

 private:
  std::vector<Peer> MembersOf(int side, bool are_frozen_dead = false) const {
    std::vector<Peer> members;
    for (std::size_t index = 0; index < size(); ++index) {
      if (m_alive[index] && m_network.SideOf(index) == side &&
          !(are_frozen_dead && m_network.IsFrozen(index)))
        members.push_back(PeerOf(index));
    }
    return members;
  }

  void StartNode(std::size_t index) {
    m_nodes[index] = std::make_unique<WorkspaceLimiter>(
        LimitsSettings(), PeerOf(index), m_network.PortOf(index), m_now);
    for (const auto& [workspace, limits] : m_workspaces)
      m_nodes[index]->SetLimits(m_now, workspace, limits);
  }

  void Step() {
    for (const QueuedDatagram& datagram : m_network.TakeArrived()) {
      if (!m_alive[datagram.to])
        continue;
      m_nodes[datagram.to]->OnDatagram(
          m_now, DatagramNetwork::EndpointOf(datagram.from), datagram.payload);
    }
    for (std::size_t index = 0; index < size(); ++index) {
      if (IsRunning(index) && m_nodes[index]->NextWakeup() <= m_now)
        m_nodes[index]->OnTimer(m_now);
    }
  }

  TimePoint m_now = TimePoint(std::chrono::hours(1));
  DatagramNetwork m_network;
  std::vector<bool> m_alive;
  std::vector<std::uint64_t> m_restarts;
  std::vector<std::unique_ptr<WorkspaceLimiter>> m_nodes;
  std::vector<std::pair<WorkspaceName, WorkspaceLimits>> m_workspaces;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_LIMITER_FLEET_H_
