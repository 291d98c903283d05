// Get, scan, watch and transact over a sorted map.

#include "core/store/in_memory_table.h"

#include <algorithm>
#include <variant>

namespace bulrushmount {

TableReply InMemoryTable::Apply(const TableRequest& request) {
  TableReply reply = Answer(request);
  reply.epoch = m_epoch;
  reply.as_of = RowVersion(m_last_version);
  return reply;
}

void InMemoryTable::RestoreFrom(const InMemoryTable& copy) {
  const TableEpoch next(m_epoch.value() + 1);
  *this = InMemoryTable(copy);
  m_epoch = next;
}

TableReply InMemoryTable::Answer(const TableRequest& request) {
  if (const auto* get = std::get_if<TableGet>(&request)) {
    return Get(*get);
  }
  if (const auto* watch = std::get_if<TableWatch>(&request)) {
    return Watch(*watch);
  }
  if (const auto* scan = std::get_if<TableScan>(&request)) {
    return Scan(*scan);
  }
  return Transact(std::get<TableTransact>(request));
}

TableReply InMemoryTable::Get(const TableGet& get) const {
  TableReply reply;
  reply.status = TableStatus::kOk;
  const auto found = m_rows.find(get.key);
  if (found != m_rows.end()) {
    const StoredRow& stored = found->second;
    reply.rows.push_back({get.key, stored.value, stored.version});
  }
  return reply;
}

TableReply InMemoryTable::Watch(const TableWatch& watch) const {
  TableReply reply = Scan(TableScan{watch.prefix});
  for (const auto& [key, version] : m_removed) {
    if (key.starts_with(watch.prefix))
      reply.rows.push_back({key, {}, version, /*is_removed=*/true});
  }
  std::erase_if(reply.rows, [&watch](const Row& row) {
    return row.version <= watch.after;
  });
  std::sort(reply.rows.begin(), reply.rows.end(),
            [](const Row& left, const Row& right) {
              return left.version < right.version;
            });
  // The version is newer than this table's history.
  if (watch.after > RowVersion(m_last_version))
    return {TableStatus::kHistoryLost, {}};
  return reply;
}

TableReply InMemoryTable::Scan(const TableScan& scan) const {
  TableReply reply;
  reply.status = TableStatus::kOk;
  auto row = m_rows.lower_bound(scan.prefix);
  while (row != m_rows.end() && row->first.starts_with(scan.prefix)) {
    reply.rows.push_back({row->first, row->second.value, row->second.version});
    ++row;
  }
  return reply;
}

TableReply InMemoryTable::CheckConditions(const TableTransact& transact,
                                          bool& has_failed) const {
  TableReply reply;
  has_failed = false;
  for (const RowCondition& condition : transact.conditions) {
    const auto found = m_rows.find(condition.key);
    const bool exists = found != m_rows.end();
    const RowVersion current = exists ? found->second.version : kNoRow;
    if (current == condition.version) {
      continue;
    }
    has_failed = true;
    if (exists) {
      reply.rows.push_back({condition.key, found->second.value, current});
    }
  }
  reply.status = has_failed ? TableStatus::kConditionFailed : TableStatus::kOk;
  return reply;
}

TableReply InMemoryTable::Transact(const TableTransact& transact) {
  bool has_failed = false;
  TableReply reply = CheckConditions(transact, has_failed);
  if (has_failed) {
    return reply;
  }
  for (const RowPut& put : transact.puts) {
    const RowVersion version{++m_last_version};
    m_rows[put.key] = {put.value, version};
    m_removed.erase(put.key);
    reply.rows.push_back({put.key, {}, version});
  }
  for (const std::string& key : transact.deletes) {
    if (m_rows.erase(key) > 0)
      m_removed[key] = RowVersion(++m_last_version);
  }
  return reply;
}

}  // namespace bulrushmount
