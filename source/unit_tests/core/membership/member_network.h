// Several memberships connected by a simulated network, in virtual time. Used
// by the tests of membership and its benchmark.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_MEMBERSHIP_MEMBER_NETWORK_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_MEMBERSHIP_MEMBER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/membership/membership.h"
#include "unit_tests/core/common/virtual_time.h"

namespace bulrushmount {

class MemberNetwork {
 public:
  explicit MemberNetwork(std::uint64_t seed, MembershipSettings settings = {});

  // Starts a node that is introduced to the nodes `seeds`; returns its number.
  std::size_t Add(const std::string& region,
                  const std::string& zone,
                  const std::vector<std::size_t>& seeds);

  void Run(Duration duration);
  // Runs until `is_done` returns true, checked every 50 ms; false after
  // `limit`.
  bool RunUntil(const std::function<bool()>& is_done, Duration limit);

  // Stops the node without a departure notice.
  void Kill(std::size_t node) { m_nodes[node]->is_up = false; }
  void Freeze(std::size_t node) { m_nodes[node]->is_frozen = true; }
  // Delivers the datagrams buffered while frozen, then fires the overdue timer.
  void Resume(std::size_t node);
  // Datagrams are delivered only between nodes of the same side.
  void SetSide(std::size_t node, int side) { m_nodes[node]->side = side; }
  void BreakPath(std::size_t one, std::size_t other);
  // Stops the process and starts another with a different id at its address.
  void Replace(std::size_t node, NodeId id);
  // Probability that a datagram is lost.
  void SetLoss(double loss) { m_loss = loss; }
  // Latency between regions; within a region it is a fortieth of it.
  void SetFarLatency(Duration latency) { m_far_latency = latency; }

  Membership& at(std::size_t node) { return *m_nodes[node]->membership; }
  const std::string& zone(std::size_t node) const {
    return m_nodes[node]->zone;
  }
  // Sent since the start, in all and to other zones, with IP and UDP headers.
  std::size_t bytes_sent() const { return m_bytes_sent; }
  std::size_t bytes_between_zones() const { return m_bytes_between_zones; }
  NodeId id(std::size_t node) const { return NodeId(node + 1); }
  std::size_t size() const { return m_nodes.size(); }
  bool IsUp(std::size_t node) const { return m_nodes[node]->is_up; }
  bool IsFrozen(std::size_t node) const { return m_nodes[node]->is_frozen; }
  int side(std::size_t node) const { return m_nodes[node]->side; }
  TimePoint now() const { return m_time.now(); }
  // The state of `subject` in the table of `observer`; kDead if unknown.
  MemberState StateAt(std::size_t observer, std::size_t subject);
  // Must be called after a direct call to a node, as its timers may have
  // changed.
  void Reschedule(std::size_t node);

 private:
  struct Node : DatagramPort {
    void Send(const Endpoint& to,
              DatagramKind kind,
              std::string payload) override;

    MemberNetwork* network = nullptr;
    std::size_t number = 0;
    std::unique_ptr<Membership> membership;
    bool is_up = true;
    bool is_frozen = false;
    int side = 0;
    std::string region;
    std::string zone;
    std::vector<Endpoint> seeds;
    TimePoint wakeup;
    std::vector<std::pair<Endpoint, std::string>> waiting;
  };

  void Start(Node& node, NodeId id);
  void Deliver(std::size_t from, std::size_t to, const std::string& payload);
  void FireTimer(std::size_t number, TimePoint wakeup);
  bool IsLost(std::size_t from, std::size_t to);

  MembershipSettings m_settings;
  SeededRandomSource m_random;
  VirtualTime m_time;
  double m_loss = 0;
  std::size_t m_bytes_sent = 0;
  std::size_t m_bytes_between_zones = 0;
  Duration m_far_latency = std::chrono::milliseconds(20);
  std::set<std::pair<std::size_t, std::size_t>> m_broken_paths;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

// Address of node `number` of a network.
Endpoint NetworkEndpoint(std::size_t number);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_MEMBERSHIP_MEMBER_NETWORK_H_
