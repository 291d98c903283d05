// Part of `operator_document_reader.h`.

#include "core/contracts/operator_document_reader.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

constexpr std::string_view kZonePrefix = kEvacuationRowPrefix;

// The newest version of the document's row; null if `rows` does not contain it.
const Row* FindDocument(const std::vector<Row>& rows) {
  const auto found =
      std::find_if(rows.rbegin(), rows.rend(), [](const Row& row) {
        return row.key == kOperatorDocumentRow && !row.is_removed;
      });
  return found == rows.rend() ? nullptr : &*found;
}

EvacuationRead ReadEvacuations(const TablePosition& as_of,
                               const std::vector<Row>& rows) {
  EvacuationRead read;
  read.as_of = as_of;
  // The last change of a row determines its state.
  std::map<AvailabilityZone, ZoneEvacuation> zones;
  for (const Row& row : rows) {
    if (!row.key.starts_with(kZonePrefix))
      continue;
    const AvailabilityZone zone(row.key.substr(kZonePrefix.size()));
    // The table may report a removed row with the version of its last write.
    const RowVersion version = row.is_removed ? as_of.version : row.version;
    zones[zone] = {zone, !row.is_removed, {as_of.epoch, version}};
  }
  for (auto& [zone, state] : zones)
    read.zones.push_back(std::move(state));
  return read;
}

}  // namespace

void OperatorDocumentReader::Read(Revision since, Callback done) {
  m_is_reading = true;
  m_table.Submit(TableScan{kOperatorRowPrefix},
                 [this, since, done = std::move(done)](
                     TimePoint now, const TableReply& reply) {
                   m_is_reading = false;
                   ConfigReadResult result =
                       ProcessReply(since, reply, /*is_complete=*/true);
                   result.is_unwritten =
                       result.is_ok && !FindDocument(reply.rows);
                   done(now, std::move(result));
                 });
}

void OperatorDocumentReader::Watch(Revision since, const Callback& done) {
  m_table.Submit(TableWatch{kOperatorRowPrefix, m_seen.version, m_watch_time},
                 [this, since, done](TimePoint now, const TableReply& reply) {
                   done(now, ProcessReply(since, reply, /*is_complete=*/false));
                 });
}

ConfigReadResult OperatorDocumentReader::ProcessReply(Revision since,
                                                      const TableReply& reply,
                                                      bool is_complete) {
  if (reply.status != TableStatus::kOk)
    return {};
  if (reply.epoch < m_seen.epoch) {
    LogLine(LogLevel::kWarning, "config.earlier_epoch_ignored")
        .Add("epoch", reply.epoch)
        .Add("known_epoch", m_seen.epoch);
    return {};
  }
  // A restored table assigns versions again: the changes since a version of the
  // earlier epoch are unknown, and only a scan returns the current rows.
  if (reply.epoch > m_seen.epoch && !is_complete)
    return {};
  TablePosition as_of{reply.epoch, reply.as_of};
  for (const Row& row : reply.rows)
    as_of.version = std::max(as_of.version, row.version);
  m_seen = std::max(m_seen, as_of);
  const Row* const document = FindDocument(reply.rows);
  ConfigReadResult result;
  result.is_ok = true;
  if (document)
    result = ProcessRow(since, *document);
  result.evacuations = ReadEvacuations(as_of, reply.rows);
  result.evacuations->is_complete = is_complete;
  return result;
}

ConfigReadResult OperatorDocumentReader::ProcessRow(Revision since,
                                                    const Row& row) const {
  const auto decoded = m_decoder.Decode(row.value);
  if (const auto* fault = std::get_if<RouteDocumentFault>(&decoded)) {
    // The configuration in force stays; the operator's next version may be
    // valid.
    LogLine(LogLevel::kError, "config.unreadable")
        .Add("row_version", row.version)
        .Add("in_force", since)
        .Add("fault", fault->message);
    return {.is_ok = true, .batch = std::nullopt};
  }
  const Revision revision = std::get<RouteDocument>(decoded).revision;
  if (revision < since) {
    LogLine(LogLevel::kError, "config.table_went_back")
        .Add("table_revision", revision)
        .Add("revision", since);
  }
  if (revision <= since)
    return {.is_ok = true, .batch = std::nullopt};
  ConfigChange change;
  change.workspace = WorkspaceName(kRouteDocument);
  change.revision = revision;
  change.yaml = row.value;
  // `since` is 0 because the document can follow any configuration.
  return {.is_ok = true,
          .batch = ConfigBatch{Revision(0), revision, {std::move(change)}}};
}

}  // namespace bulrushmount
