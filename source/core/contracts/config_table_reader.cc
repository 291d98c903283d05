// Part of `config_table_reader.h`.

#include "core/contracts/config_table_reader.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"
#include "core/contracts/config_codec.h"

namespace bulrushmount {

namespace {

// A round is repeated only if a change was committed during it.
constexpr std::uint32_t kMaxRounds = 8;

}  // namespace

void ConfigTableReader::Read(Revision since, Callback done) {
  m_done = std::move(done);
  m_since = since;
  m_complete_to = since;
  m_rows.clear();
  m_to_read.clear();
  m_rounds = 0;
  ReadRevision();
}

void ConfigTableReader::ReadRevision() {
  m_table.Submit(TableGet{kRevisionRowKey},
                 [this](TimePoint now, const TableReply& reply) {
                   OnRevisionRow(now, reply);
                 });
}

void ConfigTableReader::OnRevisionRow(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk || ++m_rounds > kMaxRounds)
    return Finish(now, {});
  m_record = RevisionRecord{};
  if (!reply.rows.empty()) {
    std::optional<RevisionRecord> record =
        DecodeRevisionRecord(reply.rows.front().value);
    if (!record.has_value())
      return Finish(now, {});
    m_record = std::move(*record);
  }
  if (m_record.revision.value() < m_since.value()) {
    // The table was restored from a backup or emptied. The node keeps its
    // configuration.
    LogLine(LogLevel::kError, "config.table_went_back")
        .Add("table_revision", m_record.revision)
        .Add("revision", m_since);
    return Finish(now, {});
  }
  if (m_record.revision == m_since)
    return Finish(now, {true, std::nullopt});

  std::optional<std::vector<WorkspaceName>> missing = MissingRows();
  if (!missing.has_value() || missing->size() > kMaxSingleReads)
    return ScanRows();
  m_to_read = std::move(*missing);
  ReadNextRow(now);
}

std::optional<std::vector<WorkspaceName>> ConfigTableReader::MissingRows()
    const {
  if (m_record.recent.empty() ||
      m_record.recent.front().revision.value() > m_complete_to.value() + 1)
    return std::nullopt;
  std::vector<WorkspaceName> missing;
  for (const LoggedChange& change : m_record.recent) {
    if (change.revision.value() <= m_complete_to.value())
      continue;
    const auto row = m_rows.find(change.workspace);
    const bool is_read = row != m_rows.end() && row->second.revision.value() >=
                                                    change.revision.value();
    if (!is_read && std::find(missing.begin(), missing.end(),
                              change.workspace) == missing.end())
      missing.push_back(change.workspace);
  }
  return missing;
}

void ConfigTableReader::ScanRows() {
  m_to_read.clear();
  m_table.Submit(
      TableScan{kContractRowPrefix},
      [this](TimePoint now, const TableReply& reply) { OnRows(now, reply); });
}

void ConfigTableReader::ReadNextRow(TimePoint now) {
  if (m_to_read.empty())
    return FinishRound(now);
  const std::string key = ContractRowKey(m_to_read.back());
  m_to_read.pop_back();
  m_table.Submit(TableGet{key}, [this](TimePoint now, const TableReply& reply) {
    OnRows(now, reply);
  });
}

void ConfigTableReader::OnRows(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return Finish(now, {});
  for (const Row& row : reply.rows) {
    std::optional<ConfigChange> change = DecodeChange(row.value);
    if (!change.has_value())
      return Finish(now, {});
    m_rows[change->workspace] = std::move(*change);
  }
  ReadNextRow(now);
}

void ConfigTableReader::FinishRound(TimePoint now) {
  m_complete_to = m_record.revision;
  const bool has_newer_row =
      std::any_of(m_rows.begin(), m_rows.end(), [this](const auto& row) {
        return row.second.revision.value() > m_record.revision.value();
      });
  // With a newer row the batch would mix two configurations: the row as of
  // m_complete_to is overwritten, and other rows of the newer revision are
  // missing.
  if (has_newer_row)
    return ReadRevision();
  Finish(now, {true, MakeBatch()});
}

ConfigBatch ConfigTableReader::MakeBatch() const {
  ConfigBatch batch{m_since, m_complete_to, {}};
  for (const auto& [workspace, change] : m_rows) {
    if (change.revision.value() > m_since.value())
      batch.changes.push_back(change);
  }
  std::sort(batch.changes.begin(), batch.changes.end(),
            [](const ConfigChange& left, const ConfigChange& right) {
              return left.revision.value() < right.revision.value();
            });
  return batch;
}

void ConfigTableReader::Finish(TimePoint now, ConfigReadResult result) {
  const Callback done = std::exchange(m_done, nullptr);
  done(now, std::move(result));
}

}  // namespace bulrushmount
