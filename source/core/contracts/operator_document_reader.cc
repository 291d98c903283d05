// Part of `operator_document_reader.h`.

#include "core/contracts/operator_document_reader.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/common/logging.h"

namespace bulrushmount {

void OperatorDocumentReader::Read(Revision since, Callback done) {
  m_is_reading = true;
  m_table.Submit(TableGet{kOperatorDocumentRow},
                 [this, since, done = std::move(done)](
                     TimePoint now, const TableReply& reply) {
                   m_is_reading = false;
                   ConfigReadResult result = Take(since, reply);
                   result.is_unwritten = result.is_ok && reply.rows.empty();
                   done(now, std::move(result));
                 });
}

void OperatorDocumentReader::Watch(Revision since, const Callback& done) {
  m_table.Submit(TableWatch{kOperatorDocumentRow, m_seen, kWatchTime},
                 [this, since, done](TimePoint now, const TableReply& reply) {
                   done(now, Take(since, reply));
                 });
}

ConfigReadResult OperatorDocumentReader::Take(Revision since,
                                              const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return {};
  m_seen = std::max(m_seen, reply.as_of);
  if (reply.rows.empty())
    return {.is_ok = true, .batch = std::nullopt};
  m_seen = std::max(m_seen, reply.rows.back().version);
  return TakeRow(since, reply.rows.back());
}

ConfigReadResult OperatorDocumentReader::TakeRow(Revision since,
                                                 const Row& row) const {
  const auto decoded = m_decoder.Decode(row.value);
  if (const auto* fault = std::get_if<RouteDocumentFault>(&decoded)) {
    // The configuration in force stays; the operator's next version may be
    // sound.
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
  // Since 0: the document leads on from any configuration.
  return {.is_ok = true,
          .batch = ConfigBatch{Revision(0), revision, {std::move(change)}}};
}

}  // namespace bulrushmount
