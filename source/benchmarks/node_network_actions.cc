// Part of `node_network.h`: performs the actions of the nodes.

#include <algorithm>

#include "benchmarks/node_network.h"

namespace bulrushmount {

namespace {

constexpr Duration kDelayWithinRegion = std::chrono::microseconds(500);
constexpr Duration kDelayBetweenRegions = std::chrono::milliseconds(20);
constexpr Duration kServiceTime = std::chrono::milliseconds(10);
constexpr std::uint64_t kIpUdpHeaderBytes = 28;
constexpr int kOk = 200;

void CountDatagram(std::array<DatagramCount, kDatagramKinds>& counts,
                   const std::string& bytes) {
  // The first byte of a datagram is its kind.
  const std::size_t kind = std::min<std::size_t>(
      static_cast<unsigned char>(bytes.front()), kDatagramKinds - 1);
  ++counts[kind].datagrams;
  counts[kind].bytes += bytes.size() + kIpUdpHeaderBytes;
}

std::string PrefixOf(const std::string& key) {
  return key.substr(0, key.find('/'));
}

}  // namespace

Duration NodeNetwork::DelayBetween(std::size_t from, std::size_t to) const {
  const bool is_same_region =
      m_nodes[from].settings.region == m_nodes[to].settings.region;
  return is_same_region ? kDelayWithinRegion : kDelayBetweenRegions;
}

void NodeNetwork::Perform(std::size_t node, DispatchAttempt action) {
  const auto found = m_node_by_id.find(action.owner.value());
  if (found == m_node_by_id.end() || m_nodes[found->second].is_stopped) {
    ++m_counts.lost_attempts;
    AttemptLost lost;
    lost.call = action.call;
    lost.attempt = action.attempt;
    lost.is_certainly_not_run = true;
    lost.reason = Reason::kNodeUnreachable;
    Schedule(kDelayWithinRegion, node, lost);
    return;
  }
  const std::uint64_t work = ++m_last_id;
  m_attempts[work] = Attempt{node, action.call, action.attempt};
  Schedule(DelayBetween(node, found->second), found->second,
           WorkArrived{WorkId(work), std::move(action.head)});
}

void NodeNetwork::Perform(std::size_t node, const HandToTarget& action) {
  Schedule(kServiceTime, node, TargetAnswerBegun{action.work, kOk, false});
  Schedule(kServiceTime, node, TargetAnswerEnded{action.work});
}

void NodeNetwork::Perform(std::size_t node, const RefuseWork& action) {
  ++m_counts.refused_by_owners;
  const auto found = m_attempts.find(action.work.value());
  if (found == m_attempts.end())
    return;
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  Schedule(DelayBetween(node, attempt.entry), attempt.entry,
           AttemptRefused{attempt.call, attempt.attempt, action.reason,
                          action.load});
}

void NodeNetwork::Perform(std::size_t node, const RelayWork& action) {
  const auto found = m_attempts.find(action.work.value());
  if (found == m_attempts.end())
    return;
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  ++m_counts.answered;
  const Duration delay = DelayBetween(node, attempt.entry);
  Schedule(delay, attempt.entry,
           AttemptAnswerBegun{attempt.call, attempt.attempt, kOk, action.load});
  Schedule(delay, attempt.entry,
           AttemptAnswerEnded{attempt.call, attempt.attempt, action.load,
                              std::nullopt});
}

void NodeNetwork::Perform(std::size_t node, const FailWork& action) {
  const auto found = m_attempts.find(action.work.value());
  if (found == m_attempts.end())
    return;
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  AttemptLost lost;
  lost.call = attempt.call;
  lost.attempt = attempt.attempt;
  lost.reason = action.reason;
  Schedule(DelayBetween(node, attempt.entry), attempt.entry, lost);
}

void NodeNetwork::Perform(std::size_t, const AnswerCaller& action) {
  ++m_counts.refused[std::string(TraitsOf(action.reason).token)];
}

void NodeNetwork::Perform(std::size_t node, const SendProbe& action) {
  Schedule(kServiceTime, node, ProbeAnswered{action.probe, true, kServiceTime});
}

void NodeNetwork::Perform(std::size_t node, SendDatagram action) {
  CountDatagram(m_counts.traffic[node].sent, action.bytes);
  const auto found = m_node_by_ip.find(action.to.ip);
  if (found == m_node_by_ip.end() || m_nodes[found->second].is_stopped)
    return;
  CountDatagram(m_counts.traffic[found->second].received, action.bytes);
  if (m_nodes[node].settings.zone != m_nodes[found->second].settings.zone)
    CountDatagram(m_counts.between_zones, action.bytes);
  Schedule(DelayBetween(node, found->second), found->second,
           DatagramArrived{m_nodes[node].settings.gossip_endpoint,
                           std::move(action.bytes)});
}

void NodeNetwork::Perform(std::size_t node, SubmitTableRequest action) {
  CountTable(action.body);
  Schedule(m_table_delay / 2,
           ScheduledEvent{
               node, m_nodes[node].process_number,
               TableRequestArrived{action.request, std::move(action.body)}});
}

void NodeNetwork::ServeTable(std::size_t node,
                             const TableRequestArrived& arrival) {
  Schedule(m_table_delay / 2, node,
           TableReplied{arrival.id, m_table.Apply(arrival.request)});
}

void NodeNetwork::CountTable(const TableRequest& request) {
  if (const auto* transact = std::get_if<TableTransact>(&request)) {
    const std::string& key = !transact->puts.empty()
                                 ? transact->puts.front().key
                                 : transact->deletes.front();
    TableCount& count = m_counts.table[PrefixOf(key)];
    ++count.transactions;
    count.rows_written += transact->puts.size() + transact->deletes.size();
    return;
  }
  const auto* get = std::get_if<TableGet>(&request);
  const std::string& key = get ? get->key : std::get<TableScan>(request).prefix;
  ++m_counts.table[PrefixOf(key)].reads;
  const auto second =
      std::chrono::floor<std::chrono::seconds>(m_now.time_since_epoch())
          .count();
  if (second != m_current_second)
    m_reads_in_second = 0;
  m_current_second = second;
  ++m_reads_in_second;
  m_counts.max_reads_per_second =
      std::max(m_counts.max_reads_per_second, m_reads_in_second);
}

void NodeNetwork::Perform(std::size_t, const AnswerOperator& action) {
  m_operator_answer = action;
}

}  // namespace bulrushmount
