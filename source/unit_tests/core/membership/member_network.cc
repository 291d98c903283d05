// Part of `member_network.h`.

#include "unit_tests/core/membership/member_network.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

namespace {

// IP and UDP headers and the byte of the datagram's kind.
constexpr std::size_t kHeaderBytes = 29;

constexpr std::size_t kSocketBuffer = 200;
constexpr int kLocalLatencyDivisor = 40;
constexpr Duration kPollInterval = std::chrono::milliseconds(50);

}  // namespace

Endpoint NetworkEndpoint(std::size_t number) {
  return {"127.0.0.1", static_cast<std::uint16_t>(10000 + number)};
}

MemberNetwork::MemberNetwork(std::uint64_t seed, MembershipSettings settings)
    : m_settings(settings), m_random(seed) {}

std::size_t MemberNetwork::Add(const std::string& region,
                               const std::string& zone,
                               const std::vector<std::size_t>& seeds) {
  const std::size_t number = m_nodes.size();
  m_nodes.push_back(std::make_unique<Node>());
  Node& node = *m_nodes.back();
  node.network = this;
  node.number = number;
  node.region = region;
  node.zone = zone;
  for (const std::size_t seed : seeds) {
    node.seeds.push_back(NetworkEndpoint(seed));
  }
  Start(node, id(number));
  return number;
}

void MemberNetwork::Start(Node& node, NodeId id) {
  Member self;
  self.id = id;
  self.gossip_endpoint = NetworkEndpoint(node.number);
  self.stream_endpoint = NetworkEndpoint(node.number + 20000);
  self.region = Region(node.region);
  self.zone = AvailabilityZone(node.zone);
  self.target = TargetSummary{ServiceName("service-" + node.zone),
                              Incarnation(1), 12, true, false};
  node.membership =
      std::make_unique<Membership>(m_settings, self, m_random, node, now());
  node.membership->Introduce(now(), node.seeds);
  Reschedule(node.number);
}

void MemberNetwork::Replace(std::size_t node, NodeId id) {
  m_nodes[node]->is_up = true;
  Start(*m_nodes[node], id);
}

void MemberNetwork::BreakPath(std::size_t one, std::size_t other) {
  m_broken_paths.insert({one, other});
  m_broken_paths.insert({other, one});
}

void MemberNetwork::Run(Duration duration) {
  m_time.RunTo(now() + duration);
}

bool MemberNetwork::RunUntil(const std::function<bool()>& is_done,
                             Duration limit) {
  const TimePoint end = now() + limit;
  while (!is_done()) {
    if (now() >= end) {
      return false;
    }
    Run(kPollInterval);
  }
  return true;
}

void MemberNetwork::Resume(std::size_t number) {
  Node& node = *m_nodes[number];
  node.is_frozen = false;
  for (const auto& [from, payload] : std::exchange(node.waiting, {})) {
    node.membership->OnDatagram(now(), from, payload);
  }
  node.membership->OnTimer(now());
  Reschedule(number);
}

MemberState MemberNetwork::StateAt(std::size_t observer, std::size_t subject) {
  const Member* member = at(observer).table().Find(id(subject));
  return member == nullptr ? MemberState::kDead : member->state;
}

void MemberNetwork::Reschedule(std::size_t number) {
  Node& node = *m_nodes[number];
  node.wakeup = std::max(node.membership->NextWakeup(), now());
  m_time.At(node.wakeup, [this, number, wakeup = node.wakeup] {
    FireTimer(number, wakeup);
  });
}

void MemberNetwork::Node::Send(const Endpoint& to,
                               DatagramKind kind,
                               std::string payload) {
  const std::size_t receiver = to.port - NetworkEndpoint(0).port;
  const std::size_t bytes = payload.size() + kHeaderBytes;
  network->m_bytes_sent += bytes;
  if (receiver < network->size() && network->zone(receiver) != zone) {
    network->m_bytes_between_zones += bytes;
  }
  if (receiver >= network->size() || network->IsLost(number, receiver)) {
    return;
  }
  const bool is_near =
      membership->self().region == network->at(receiver).self().region;
  const Duration latency = is_near
                               ? network->m_far_latency / kLocalLatencyDivisor
                               : network->m_far_latency;
  network->m_time.After(latency, [network = network, from = number, receiver,
                                  payload = std::move(payload)] {
    network->Deliver(from, receiver, payload);
  });
}

void MemberNetwork::Deliver(std::size_t from,
                            std::size_t to,
                            const std::string& payload) {
  Node& node = *m_nodes[to];
  if (!node.is_up) {
    return;
  }
  if (node.is_frozen) {
    if (node.waiting.size() < kSocketBuffer) {
      node.waiting.emplace_back(NetworkEndpoint(from), payload);
    }
    return;
  }
  node.membership->OnDatagram(now(), NetworkEndpoint(from), payload);
  if (node.membership->NextWakeup() != node.wakeup) {
    Reschedule(to);
  }
}

// Ignores a timer that has been rescheduled in the meantime.
void MemberNetwork::FireTimer(std::size_t number, TimePoint wakeup) {
  Node& node = *m_nodes[number];
  if (!node.is_up || node.is_frozen || wakeup != node.wakeup) {
    return;
  }
  node.membership->OnTimer(now());
  Reschedule(number);
}

bool MemberNetwork::IsLost(std::size_t from, std::size_t to) {
  return m_nodes[from]->side != m_nodes[to]->side ||
         m_broken_paths.contains({from, to}) || m_random.Fraction() < m_loss;
}

}  // namespace bulrushmount
