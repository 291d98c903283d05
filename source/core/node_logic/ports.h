// Adapters through which the decision modules perform I/O: each call emits an
// action.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_PORTS_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_PORTS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/time.h"
#include "core/membership/membership.h"
#include "core/node_logic/actions.h"
#include "core/pipeline/dispatcher.h"
#include "core/quarantine/broadcast_port.h"
#include "core/reporting/peer_traffic.h"
#include "core/store/table_service.h"

namespace bulrushmount::detail {

// Collects the actions of one event.
class ActionQueue : public ActionSink {
 public:
  void Push(NodeAction action) override {
    m_actions.push_back(std::move(action));
  }

  std::vector<NodeAction> Take() { return std::exchange(m_actions, {}); }

 private:
  std::vector<NodeAction> m_actions;
};

class TablePort : public TableService {
 public:
  explicit TablePort(ActionSink& actions) : m_actions(actions) {}

  void Submit(TableRequest request, Callback callback) override;

  // Completes the request with this id; unknown ids are ignored.
  void OnReply(TimePoint now, TableRequestId id, TableReply reply);

 private:
  ActionSink& m_actions;
  std::uint64_t m_last_id = 0;
  std::unordered_map<TableRequestId, Callback> m_waiting;
};

class DatagramActions : public DatagramPort {
 public:
  // Both must outlive the object.
  DatagramActions(ActionSink& actions, PeerTraffic& traffic)
      : m_actions(actions), m_traffic(traffic) {}

  void Send(const Endpoint& to,
            DatagramKind kind,
            std::string payload) override;

 private:
  ActionSink& m_actions;
  PeerTraffic& m_traffic;
};

// Sends broadcasts of the quarantine with the gossip of the membership.
class GossipBroadcasts : public BroadcastPort {
 public:
  static constexpr BroadcastKind kQuarantineKind{1};

  // Both must outlive the object. `event_time` is the time of the event being
  // handled, since the interface of the port carries no time.
  GossipBroadcasts(Membership& membership, const TimePoint& event_time)
      : m_membership(membership), m_event_time(event_time) {}

  void Broadcast(std::uint64_t key,
                 std::string payload,
                 Duration lifetime) override;

 private:
  Membership& m_membership;
  const TimePoint& m_event_time;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_PORTS_H_
