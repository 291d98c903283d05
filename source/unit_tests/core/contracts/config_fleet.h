// The configuration modules of several nodes, connected by simulated datagrams
// over one fake table, and the naive model that they are compared with: the
// list of all accepted changes in order.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONFIG_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONFIG_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/contracts/config_sync.h"
#include "core/contracts/contract_store.h"
#include "core/contracts/contract_writer.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {

// Records each change at the moment when it takes effect. Adds one fault to
// those of the fake table: a transaction whose response is lost and which takes
// effect later, if its conditions still hold.
class HistoryTable : public TableService {
 public:
  void Submit(TableRequest request, Callback callback) override;

  // The next transaction is answered kUnknown and held until ApplyLate.
  void DelayNextTransaction() { ++m_to_delay; }
  // Applies the oldest delayed transaction.
  void ApplyLate();
  // From now on, transactions that are not delayed are answered kUnavailable.
  void RefuseTransactions() { m_is_refusing = true; }

  // The configuration `to`, replayed change by change.
  ConfigBatch Replay(Revision to) const;
  Revision revision() const { return Revision(m_history.size()); }
  // Row version of the workspace's contract; kNoRow if there is none or it is
  // withdrawn.
  RowVersion VersionOf(const std::string& workspace);

  FakeTableService& fake() { return m_fake; }

 private:
  void RecordChange();

  FakeTableService m_fake;
  // Answers with `status` and without effect, in the order of submission.
  void Answer(TableStatus status, Callback callback);

  std::size_t m_to_delay = 0;
  bool m_is_refusing = false;
  std::deque<TableTransact> m_late;
  // The nth entry has revision n + 1.
  std::vector<ConfigChange> m_history;
};

class ConfigFleet {
 public:
  struct Datagram {
    Endpoint from;
    Endpoint to;
    std::string payload;
    TimePoint due;
  };

  struct Node : public DatagramPort {
    void Send(const Endpoint& to,
              DatagramKind kind,
              std::string payload) override;

    ConfigFleet* fleet = nullptr;
    Endpoint endpoint;
    bool is_cut = false;
    AvailabilityZone zone;
    ContractStore store;
    EvacuationTable evacuations{EvacuationSettings{}};
    std::unique_ptr<ConfigSync> sync;
    std::unique_ptr<ContractWriter> writer;
  };

  struct Zones {
    // Node i is in zone i modulo `count`.
    std::size_t count = 1;
    // Whether the nodes know which zone they are in.
    bool are_known = false;
  };

  ConfigFleet(std::size_t size, std::uint64_t seed);
  ConfigFleet(std::size_t size, std::uint64_t seed, Zones zones);

  // Replaces the node at `index` by a new one with an empty state.
  void Replace(std::size_t index);

  void Introduce(std::size_t observer, std::size_t peer);
  void Write(std::size_t index,
             const std::string& workspace,
             double rate,
             bool is_withdrawal = false);

  // Delivers or loses one datagram, in random order.
  void DeliverDatagram(bool is_lost);
  // Delivers due datagrams, lets the table respond and fires timers.
  void Advance(Duration duration);

  std::size_t CountInForce(Revision revision) const;

  TimePoint now;
  SeededRandomSource random;
  ConfigSyncSettings settings;
  HistoryTable table;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Datagram> datagrams;
  // Number of operators' requests answered with success.
  std::size_t accepted = 0;
  // Maximum delay and loss probability of each datagram.
  Duration max_delay = std::chrono::milliseconds(10);
  double loss = 0;
  // Whether datagrams between the two zones are lost.
  std::function<bool(const AvailabilityZone&, const AvailabilityZone&)>
      is_separated;
  // Bytes that nodes have sent, in all and to other zones, with IP and UDP
  // headers.
  std::size_t bytes_sent = 0;
  std::size_t bytes_between_zones = 0;

 private:
  std::unique_ptr<Node> MakeNode(std::size_t index);
  void Deliver(const Datagram& datagram);
  const Node* FindNode(const Endpoint& endpoint) const;

  Zones m_zones;

  // Replaced nodes, kept because their pending requests still refer to them.
  std::vector<std::unique_ptr<Node>> m_replaced_nodes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONFIG_FLEET_H_
