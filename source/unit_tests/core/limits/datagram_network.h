// A simulated network between decision modules. It loses, repeats, delays and
// reorders datagrams, and partitions and freezes nodes.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_DATAGRAM_NETWORK_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_DATAGRAM_NETWORK_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/random.h"
#include "core/common/time.h"

namespace bulrushmount {

struct NetworkFaults {
  double loss = 0;
  double repeat = 0;
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(2);
};

struct QueuedDatagram {
  std::size_t from = 0;
  std::size_t to = 0;
  std::string payload;
};

// The gossip endpoint of node `index` has port kFirstPort + index.
class DatagramNetwork {
 public:
  static constexpr std::uint16_t kFirstPort = 1000;
  static constexpr std::uint64_t kHeaders = 29;

  DatagramNetwork(std::size_t nodes, std::uint64_t seed)
      : m_random(seed),
        m_sides(nodes, 0),
        m_frozen(nodes, false),
        m_sent_by(nodes, 0) {
    for (std::size_t index = 0; index < nodes; ++index)
      m_ports.push_back(std::make_unique<Port>(*this, index));
  }

  static Endpoint EndpointOf(std::size_t index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
  }

  DatagramPort& PortOf(std::size_t index) { return *m_ports[index]; }
  void SetFaults(const NetworkFaults& faults) { m_faults = faults; }
  void SetNow(TimePoint now) { m_now = now; }
  // Datagrams between nodes of different sides are lost.
  void SetSide(std::size_t index, int side) { m_sides[index] = side; }
  int SideOf(std::size_t index) const { return m_sides[index]; }
  // Datagrams from one node to another are lost if `is_cut` returns true.
  using LinkFilter = std::function<bool(std::size_t from, std::size_t to)>;
  void SetLinkFilter(LinkFilter is_cut) { m_is_cut = std::move(is_cut); }
  // Datagrams to a frozen node wait in its socket.
  void SetFrozen(std::size_t index, bool frozen) { m_frozen[index] = frozen; }
  bool IsFrozen(std::size_t index) const { return m_frozen[index]; }

  // Removes and returns the datagrams that have arrived by now, in order of
  // arrival.
  std::vector<QueuedDatagram> TakeArrived() {
    std::vector<QueuedDatagram> arrived;
    for (auto item = m_queue.begin();
         item != m_queue.end() && item->first <= m_now;) {
      if (m_frozen[item->second.to]) {
        ++item;
        continue;
      }
      arrived.push_back(std::move(item->second));
      item = m_queue.erase(item);
    }
    return arrived;
  }

  std::uint64_t sent() const { return m_sent; }
  std::uint64_t sent_bytes() const { return m_sent_bytes; }
  std::size_t largest() const { return m_largest; }
  // Includes the IP and UDP headers and the kind byte.
  std::uint64_t WireBytes() const { return m_sent_bytes + m_sent * kHeaders; }
  std::uint64_t MaxWireBytesPerNode() const {
    return *std::max_element(m_sent_by.begin(), m_sent_by.end());
  }
  void ResetSentCounters() {
    m_sent = 0;
    m_sent_bytes = 0;
    std::fill(m_sent_by.begin(), m_sent_by.end(), 0);
  }

 private:
  class Port : public DatagramPort {
   public:
    Port(DatagramNetwork& network, std::size_t index)
        : m_network(network), m_index(index) {}

    void Send(const Endpoint& to,
              DatagramKind kind,
              std::string payload) override {
      m_network.Push(m_index, to.port - kFirstPort, payload);
    }

   private:
    DatagramNetwork& m_network;
    std::size_t m_index;
  };

  void Push(std::size_t from, std::size_t to, const std::string& payload) {
    ++m_sent;
    m_sent_bytes += payload.size();
    m_largest = std::max(m_largest, payload.size());
    m_sent_by[from] += payload.size() + kHeaders;
    if (m_is_cut && m_is_cut(from, to))
      return;
    if (m_sides[from] != m_sides[to] || m_random.Fraction() < m_faults.loss)
      return;
    const int copies = m_random.Fraction() < m_faults.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const double spread = ToSeconds(m_faults.max_delay - m_faults.min_delay);
      const Duration delay =
          m_faults.min_delay + FromSeconds(spread * m_random.Fraction());
      m_queue.emplace(m_now + delay, QueuedDatagram{from, to, payload});
    }
  }

  SeededRandomSource m_random;
  NetworkFaults m_faults;
  TimePoint m_now;
  std::vector<std::unique_ptr<Port>> m_ports;
  std::vector<int> m_sides;
  LinkFilter m_is_cut;
  std::vector<bool> m_frozen;
  std::multimap<TimePoint, QueuedDatagram> m_queue;
  std::uint64_t m_sent = 0;
  std::uint64_t m_sent_bytes = 0;
  std::size_t m_largest = 0;
  std::vector<std::uint64_t> m_sent_by;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_LIMITS_DATAGRAM_NETWORK_H_
