// A fleet of FleetLimiters in virtual time, connected by a DatagramNetwork,
// with a model of the membership: every node learns of deaths and returns at
// its own time.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_FLEET_H_

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/workspace_limits/fleet_limiter.h"
#include "unit_tests/core/limits/datagram_network.h"

namespace bulrushmount {

class UnitFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  static constexpr Duration kContactPeriod = std::chrono::milliseconds(500);

  UnitFleet(std::size_t nodes,
            const WorkspaceLimitsSettings& settings,
            std::uint64_t seed)
      : m_settings(settings),
        m_network(nodes, seed),
        m_random(seed + 1),
        m_nodes(nodes) {
    for (std::size_t index = 0; index < nodes; ++index)
      StartProcess(index);
    for (Node& node : m_nodes) {
      for (const Node& other : m_nodes)
        node.view[other.peer.id] = {other.peer, State::kAlive};
      node.is_view_dirty = true;
    }
    for (Node& node : m_nodes)
      node.reaches.assign(nodes, true);
  }

  TimePoint now() const { return m_now; }
  std::size_t size() const { return m_nodes.size(); }
  DatagramNetwork& network() { return m_network; }
  const WorkspaceLimitsSettings& settings() const { return m_settings; }
  FleetLimiter& node(std::size_t index) { return *m_nodes[index].limiter; }
  std::uint64_t ProcessOf(std::size_t index) const {
    return m_nodes[index].process;
  }
  bool IsRunning(std::size_t index) const {
    return m_nodes[index].is_alive && !m_network.IsFrozen(index);
  }
  void SetListener(std::size_t index, UnitListener* listener) {
    m_nodes[index].listener = listener;
    m_nodes[index].limiter->SetListener(listener);
  }

  void SetLimits(std::vector<NamedRate> rates) {
    m_rates = std::move(rates);
    for (std::size_t index = 0; index < size(); ++index)
      SetLimitsAt(index, m_rates);
  }
  // A node that is isolated from the store keeps its earlier limits.
  void SetLimitsAt(std::size_t index, const std::vector<NamedRate>& rates) {
    m_nodes[index].limiter->SetLimits(m_now, rates);
  }

  // Index of the home of the workspace, if all nodes are alive.
  std::size_t HomeOf(const WorkspaceName& workspace) const {
    std::vector<Peer> members;
    for (const Node& node : m_nodes) {
      if (node.is_alive)
        members.push_back(node.peer);
    }
    return RendezvousHome(members, KeyOf(workspace).value())->gossip.port -
           DatagramNetwork::kFirstPort;
  }

  void Kill(std::size_t index) {
    m_nodes[index].is_alive = false;
    RefreshReachability();
  }

  // The process ends in order, and tells the others.
  void Leave(std::size_t index) {
    m_nodes[index].is_alive = false;
    for (std::size_t other = 0; other < size(); ++other) {
      m_nodes[other].reaches[index] = false;
      Schedule(other, m_nodes[index].peer, Uniform(50, 500), State::kLeft);
    }
  }

  // A new process at the same address, which has the document.
  void Restart(std::size_t index) {
    RestartWithoutDocument(index);
    SetLimitsAt(index, m_rates);
  }

  // The same before it has received the document.
  void RestartWithoutDocument(std::size_t index) {
    StartProcess(index);
    Node& node = m_nodes[index];
    node.reaches.assign(size(), true);
    for (std::size_t other = 0; other < size(); ++other) {
      if (other == index || !m_nodes[other].is_alive)
        continue;
      m_nodes[other].reaches[index] = true;
      Schedule(index, m_nodes[other].peer, Uniform(10, 100), State::kAlive);
      Schedule(other, node.peer, Uniform(50, 500), State::kAlive);
      // The earlier process is found dead, as any other.
      Schedule(other, node.earlier, Uniform(3000, 5000), State::kDead);
      // The new process learns of earlier processes that others still list.
      const Node& listed = m_nodes[other];
      if (listed.process > 1 && m_random.Fraction() < kStaleRecords) {
        Schedule(index, listed.earlier, Uniform(10, 150), State::kAlive);
        const std::uint64_t version = node.view[listed.earlier.id].version;
        m_changes.emplace(m_now + Uniform(1000, 3000),
                          ViewChange{index, listed.earlier, State::kSuspect,
                                     version, node.process});
        m_changes.emplace(m_now + Uniform(3000, 5000),
                          ViewChange{index, listed.earlier, State::kDead,
                                     version, node.process});
      }
    }
    RefreshReachability();
  }

  void SetFrozen(std::size_t index, bool is_frozen) {
    m_network.SetFrozen(index, is_frozen);
    RefreshReachability();
  }

  void SetSide(std::size_t index, int side) { SetSides({index}, side); }
  // All at once: members that are cut off together find the others together.
  void SetSides(const std::vector<std::size_t>& indexes, int side) {
    for (const std::size_t index : indexes)
      m_network.SetSide(index, side);
    RefreshReachability();
  }

  // Moves the clock without any event, as after a pause of the whole machine.
  void JumpClock(Duration duration) {
    m_now += duration;
    m_network.SetNow(m_now);
  }

  // One step of virtual time.
  void Step() {
    m_now += kStep;
    m_network.SetNow(m_now);
    ApplyViews();
    for (const QueuedDatagram& datagram : m_network.TakeArrived()) {
      if (m_nodes[datagram.to].is_alive) {
        m_nodes[datagram.to].limiter->OnDatagram(
            m_now, DatagramNetwork::EndpointOf(datagram.from),
            datagram.payload);
      }
    }
    for (std::size_t index = 0; index < size(); ++index) {
      if (!IsRunning(index))
        continue;
      Node& node = m_nodes[index];
      if (m_now >= node.next_contact) {
        node.next_contact = m_now + kContactPeriod;
        if (HasReachablePeer(index))
          node.limiter->OnPeerContact(m_now);
      }
      if (node.limiter->NextWakeup() <= m_now)
        node.limiter->OnTimer(m_now);
    }
  }

  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;)
      Step();
  }

 private:
  static constexpr double kStaleRecords = 0.5;

  enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

  struct Seen {
    Peer peer;
    State state = State::kAlive;
    // Invalidates scheduled changes.
    std::uint64_t version = 0;
  };

  struct Node {
    Peer peer;
    Peer earlier;
    std::uint64_t process = 0;
    bool is_alive = true;
    std::unique_ptr<SeededRandomSource> random;
    std::unique_ptr<FleetLimiter> limiter;
    UnitListener* listener = nullptr;
    std::map<NodeId, Seen> view;
    bool is_view_dirty = false;
    std::vector<bool> reaches;
    TimePoint next_contact;
  };

  struct ViewChange {
    std::size_t at = 0;
    Peer peer;
    State state = State::kAlive;
    std::uint64_t version = 0;
    std::uint64_t process = 0;
  };

  static Duration Seconds(double seconds) { return FromSeconds(seconds); }
  Duration Uniform(double from_ms, double to_ms) {
    return FromMilliseconds(from_ms + (to_ms - from_ms) * m_random.Fraction());
  }

  void StartProcess(std::size_t index) {
    Node& node = m_nodes[index];
    node.earlier = node.peer;
    node.peer = {NodeId(m_random.NextBits() | 1U),
                 DatagramNetwork::EndpointOf(index)};
    ++node.process;
    node.is_alive = true;
    node.random = std::make_unique<SeededRandomSource>(node.peer.id.value());
    node.limiter = std::make_unique<FleetLimiter>(
        m_settings, node.peer, *node.random, m_network.PortOf(index), m_now);
    node.limiter->SetListener(node.listener);
    if (m_nodes.size() > 1)
      node.limiter->ExpectPeers();
    node.view.clear();
    node.next_contact = m_now + Uniform(0, 500);
  }

  bool Reaches(std::size_t from, std::size_t to) const {
    return m_nodes[to].is_alive && !m_network.IsFrozen(to) &&
           m_network.SideOf(from) == m_network.SideOf(to);
  }

  bool HasReachablePeer(std::size_t index) const {
    for (std::size_t other = 0; other < size(); ++other) {
      if (other != index && Reaches(index, other))
        return true;
    }
    return false;
  }

  // Load pattern: SWIM. The members of one side together send a heartbeat per
  // member and half second, so a large side finds a lost member within a second
  // or two and an isolated node finds one in half a second. A suspect is
  // declared dead after 2 s.
  void RefreshReachability() {
    std::map<std::pair<int, std::size_t>, Duration> found;
    std::map<int, std::size_t> side_sizes;
    for (std::size_t index = 0; index < size(); ++index) {
      if (IsRunning(index))
        ++side_sizes[m_network.SideOf(index)];
    }
    for (std::size_t from = 0; from < size(); ++from) {
      Node& node = m_nodes[from];
      if (!IsRunning(from))
        continue;
      const int side = m_network.SideOf(from);
      for (std::size_t to = 0; to < size(); ++to) {
        const bool reaches = from == to || Reaches(from, to);
        if (reaches == node.reaches[to])
          continue;
        // A tombstone of an unknown member is ignored.
        if (!reaches && !node.view.contains(m_nodes[to].peer.id)) {
          node.reaches[to] = false;
          continue;
        }
        node.reaches[to] = reaches;
        if (reaches) {
          Schedule(from, m_nodes[to].peer, Uniform(200, 2000), State::kAlive);
          continue;
        }
        const auto [known, is_new] = found.try_emplace({side, to});
        if (is_new) {
          const double mean = 0.5 * static_cast<double>(size() - 1) /
                              static_cast<double>(side_sizes[side]);
          known->second = Seconds(1 - mean * std::log(1 - m_random.Fraction()));
        }
        const Duration at = known->second + Uniform(100, 600);
        Schedule(from, m_nodes[to].peer, at, State::kSuspect);
        m_changes.emplace(
            m_now + at + Seconds(2),
            ViewChange{from, m_nodes[to].peer, State::kDead,
                       node.view[m_nodes[to].peer.id].version, node.process});
      }
    }
  }

  void Schedule(std::size_t at, const Peer& peer, Duration in, State state) {
    Seen& seen = m_nodes[at].view[peer.id];
    // Not yet known: does not count as live before the change.
    if (seen.peer.id == NodeId())
      seen = {peer, State::kLeft, 0};
    ++seen.version;
    m_changes.emplace(m_now + in, ViewChange{at, peer, state, seen.version,
                                             m_nodes[at].process});
  }

  void ApplyViews() {
    while (!m_changes.empty() && m_changes.begin()->first <= m_now) {
      const ViewChange change = m_changes.begin()->second;
      m_changes.erase(m_changes.begin());
      Node& node = m_nodes[change.at];
      if (node.process != change.process || !node.is_alive)
        continue;
      if (!IsRunning(change.at)) {
        // Learned after it resumes.
        m_changes.emplace(m_now + Seconds(0.1), change);
        continue;
      }
      Seen& seen = node.view[change.peer.id];
      if (seen.version != change.version)
        continue;
      seen.state = change.state;
      node.is_view_dirty = true;
    }
    for (std::size_t index = 0; index < size(); ++index) {
      Node& node = m_nodes[index];
      if (node.is_view_dirty && IsRunning(index))
        PublishView(node);
    }
  }

  void PublishView(Node& node) {
    std::vector<FleetMember> live;
    std::vector<Peer> dead;
    for (const auto& [id, seen] : node.view) {
      if (seen.state == State::kAlive || seen.state == State::kSuspect)
        live.push_back({seen.peer, seen.state == State::kSuspect});
      else if (seen.state == State::kDead)
        dead.push_back(seen.peer);
    }
    node.is_view_dirty = false;
    node.limiter->SetMembers(m_now, live, dead);
  }

  WorkspaceLimitsSettings m_settings;
  TimePoint m_now = TimePoint(std::chrono::hours(1));
  DatagramNetwork m_network;
  SeededRandomSource m_random;
  std::vector<Node> m_nodes;
  std::vector<NamedRate> m_rates;
  std::multimap<TimePoint, ViewChange> m_changes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_WORKSPACE_LIMITS_UNIT_FLEET_H_
