// Part of `config_fleet.h`.

#include "unit_tests/core/contracts/config_fleet.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "core/contracts/config_codec.h"
#include "core/contracts/config_table_reader.h"
#include "unit_tests/core/contracts/contract_texts.h"

namespace bulrushmount {

namespace {

// IP and UDP headers and the byte of the datagram's kind.
constexpr std::size_t kHeaderBytes = 29;

}  // namespace

void HistoryTable::Submit(TableRequest request, Callback callback) {
  auto* const transaction = std::get_if<TableTransact>(&request);
  if (transaction != nullptr && m_to_delay > 0) {
    --m_to_delay;
    m_late.push_back(std::move(*transaction));
    return Answer(TableStatus::kUnknown, std::move(callback));
  }
  if (transaction != nullptr && m_is_refusing)
    return Answer(TableStatus::kUnavailable, std::move(callback));
  m_fake.Submit(std::move(request), std::move(callback));
  RecordChange();
}

void HistoryTable::Answer(TableStatus status, Callback callback) {
  // The result of this read is ignored: it only keeps the responses in the
  // order of submission.
  m_fake.Submit(TableGet{"none"}, [status, callback = std::move(callback)](
                                      TimePoint now, const TableReply&) {
    callback(now, {status, {}});
  });
}

void HistoryTable::ApplyLate() {
  if (m_late.empty())
    return;
  m_fake.table().Apply(m_late.front());
  m_late.pop_front();
  RecordChange();
}

void HistoryTable::RecordChange() {
  const auto rows = m_fake.table().Apply(TableGet{kRevisionRowKey}).rows;
  if (rows.empty())
    return;
  const RevisionRecord record = *DecodeRevisionRecord(rows.front().value);
  if (record.revision.value() == m_history.size())
    return;
  const std::string key = ContractRowKey(record.recent.back().workspace);
  const auto changed = m_fake.table().Apply(TableGet{key}).rows;
  m_history.push_back(*DecodeChange(changed.front().value));
}

RowVersion HistoryTable::VersionOf(const std::string& workspace) {
  const auto rows =
      m_fake.table().Apply(TableGet{kContractRowPrefix + workspace}).rows;
  const bool exists =
      !rows.empty() && !DecodeChange(rows.front().value)->is_withdrawn;
  return exists ? rows.front().version : kNoRow;
}

ConfigBatch HistoryTable::Replay(Revision to) const {
  std::map<std::string, ConfigChange> last;
  for (std::size_t i = 0; i < to.value(); ++i)
    last[m_history[i].workspace.value()] = m_history[i];
  ConfigBatch batch{Revision(0), to, {}};
  for (const auto& [workspace, change] : last)
    batch.changes.push_back(change);
  std::sort(batch.changes.begin(), batch.changes.end(),
            [](const ConfigChange& left, const ConfigChange& right) {
              return left.revision.value() < right.revision.value();
            });
  return batch;
}

void ConfigFleet::Node::Send(const Endpoint& to,
                             DatagramKind kind,
                             std::string payload) {
  if (is_cut)
    return;
  const Node* const receiver = fleet->FindNode(to);
  fleet->bytes_sent += payload.size() + kHeaderBytes;
  if (receiver != nullptr && receiver->zone != zone)
    fleet->bytes_between_zones += payload.size() + kHeaderBytes;
  const bool is_separated = receiver != nullptr && fleet->is_separated &&
                            fleet->is_separated(zone, receiver->zone);
  if (is_separated || fleet->random.Fraction() < fleet->loss)
    return;
  const Duration delay =
      FromSeconds(ToSeconds(fleet->max_delay) * fleet->random.Fraction());
  fleet->datagrams.push_back(
      Datagram{endpoint, to, std::move(payload), fleet->now + delay});
}

ConfigFleet::ConfigFleet(std::size_t size, std::uint64_t seed)
    : ConfigFleet(size, seed, Zones()) {}

ConfigFleet::ConfigFleet(std::size_t size, std::uint64_t seed, Zones zones)
    : random(seed), m_zones(zones) {
  nodes.reserve(size);
  for (std::size_t i = 0; i < size; ++i)
    nodes.push_back(MakeNode(i));
}

std::unique_ptr<ConfigFleet::Node> ConfigFleet::MakeNode(std::size_t index) {
  auto node = std::make_unique<Node>();
  node->fleet = this;
  node->endpoint =
      Endpoint{fmt::format("10.0.{}.{}", index / 250, index % 250), 7001};
  ConfigSyncSettings node_settings = settings;
  node->zone = AvailabilityZone(fmt::format("zone-{}", index % m_zones.count));
  node_settings.self = NodeId(index + 1);
  if (m_zones.are_known)
    node_settings.zone = node->zone;
  node->sync = std::make_unique<ConfigSync>(
      node_settings, node->store, node->evacuations,
      std::make_unique<ConfigTableReader>(table), *node, random, now);
  ConfigSync* const sync = node->sync.get();
  node->writer = std::make_unique<ContractWriter>(
      ContractWriterSettings{}, table, random,
      [sync](TimePoint now, const ConfigChange& change) {
        sync->OnLocalCommit(now, change);
      });
  return node;
}

void ConfigFleet::Replace(std::size_t index) {
  nodes[index]->is_cut = true;
  m_replaced_nodes.push_back(std::exchange(nodes[index], MakeNode(index)));
}

void ConfigFleet::Introduce(std::size_t observer, std::size_t peer) {
  nodes[observer]->sync->OnPeerRevision(
      now, NodeId(peer + 1), nodes[peer]->zone, nodes[peer]->endpoint,
      nodes[peer]->store.revision());
}

void ConfigFleet::Write(std::size_t index,
                        const std::string& workspace,
                        double rate,
                        bool is_withdrawal) {
  const RowVersion version = table.VersionOf(workspace);
  nodes[index]->writer->Handle(now,
                               is_withdrawal
                                   ? WithdrawRequest(workspace, version)
                                   : WriteRequest(workspace, rate, version),
                               [this](TimePoint, const AnswerOperator& answer) {
                                 accepted += answer.status == 200 ? 1 : 0;
                               });
}

void ConfigFleet::DeliverDatagram(bool is_lost) {
  if (datagrams.empty())
    return;
  const std::size_t index = random.Index(datagrams.size());
  std::swap(datagrams[index], datagrams.back());
  const Datagram datagram = std::move(datagrams.back());
  datagrams.pop_back();
  if (!is_lost)
    Deliver(datagram);
}

const ConfigFleet::Node* ConfigFleet::FindNode(const Endpoint& endpoint) const {
  for (const std::unique_ptr<Node>& node : nodes) {
    if (node->endpoint == endpoint)
      return node.get();
  }
  return nullptr;
}

void ConfigFleet::Deliver(const Datagram& datagram) {
  for (const std::unique_ptr<Node>& node : nodes) {
    if (node->endpoint == datagram.to && !node->is_cut)
      return node->sync->OnDatagram(now, datagram.from, datagram.payload);
  }
}

void ConfigFleet::Advance(Duration duration) {
  now += duration;
  const auto due =
      std::partition(datagrams.begin(), datagrams.end(),
                     [this](const Datagram& d) { return d.due > now; });
  const std::vector<Datagram> arrived(std::make_move_iterator(due),
                                      std::make_move_iterator(datagrams.end()));
  datagrams.erase(due, datagrams.end());
  for (const Datagram& datagram : arrived)
    Deliver(datagram);
  table.fake().DeliverAll(now);
  for (const std::unique_ptr<Node>& node : nodes) {
    if (now >= node->sync->NextWakeup())
      node->sync->OnTimer(now);
    if (now >= node->writer->NextWakeup())
      node->writer->OnTimer(now);
  }
}

std::size_t ConfigFleet::CountInForce(Revision revision) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [revision](const auto& node) {
        return node->store.revision() == revision;
      }));
}

}  // namespace bulrushmount
