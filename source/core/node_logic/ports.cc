// Implements `ports.h`.

#include "core/node_logic/ports.h"

#include <fmt/format.h>

namespace bulrushmount::detail {

namespace {

// IP and UDP headers of a datagram.
constexpr std::size_t kUdpHeaderBytes = 28;

}  // namespace

void TablePort::Submit(TableRequest request, Callback callback) {
  const TableRequestId id(++m_last_id);
  m_waiting.emplace(id, std::move(callback));
  m_actions.Push(SubmitTableRequest{id, std::move(request)});
}

void TablePort::OnReply(TimePoint now, TableRequestId id, TableReply reply) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end())
    return;
  const Callback callback = std::move(found->second);
  m_waiting.erase(found);
  callback(now, std::move(reply));
}

void DatagramActions::Send(const Endpoint& to,
                           DatagramKind kind,
                           std::string payload) {
  payload.insert(payload.begin(), static_cast<char>(kind));
  m_traffic.Add(CauseOf(kind), m_traffic.DistanceOf(to),
                payload.size() + kUdpHeaderBytes);
  m_actions.Push(SendDatagram{to, std::move(payload)});
}

void GossipBroadcasts::Broadcast(std::uint64_t key,
                                 std::string payload,
                                 Duration lifetime) {
  m_membership.Broadcast(
      m_event_time, BroadcastItem{kQuarantineKind, fmt::format("{:x}", key),
                                  std::move(payload), lifetime});
}

}  // namespace bulrushmount::detail
