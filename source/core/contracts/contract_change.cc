// Part of `contract_change.h`.

#include "core/contracts/contract_change.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"
#include "core/contracts/config_codec.h"

namespace bulrushmount {

namespace {

const LoggedChange* FindLogged(const RevisionRecord& record, ChangeId id) {
  const auto found = std::find_if(
      record.recent.begin(), record.recent.end(),
      [id](const LoggedChange& change) { return change.change_id == id; });
  return found == record.recent.end() ? nullptr : &*found;
}

// Whether the log would contain a change that created `revision`.
bool LogCovers(const RevisionRecord& record, Revision revision) {
  if (record.revision.value() < revision.value())
    return true;
  return !record.recent.empty() &&
         record.recent.front().revision.value() <= revision.value();
}

RowVersion VersionOf(const std::vector<Row>& rows, const std::string& key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&key](const Row& row) { return row.key == key; });
  return found == rows.end() ? kNoRow : found->version;
}

}  // namespace

std::string_view ToToken(ChangeStatus status) {
  switch (status) {
    case ChangeStatus::kCommitted:
      return "committed";
    case ChangeStatus::kVersionMismatch:
      return "version-mismatch";
    case ChangeStatus::kNotFound:
      return "not-found";
    case ChangeStatus::kNotWritten:
      return "not-written";
    case ChangeStatus::kUnknown:
      break;
  }
  return "unknown";
}

ContractChange::ContractChange(const ContractWriterSettings& settings,
                               TableService& table,
                               RandomSource& random,
                               ConfigChange draft,
                               RowVersion if_version)
    : m_settings(settings),
      m_table(table),
      m_random(random),
      m_change(std::move(draft)),
      m_if_version(if_version) {}

void ContractChange::Start(TimePoint now, Callback done) {
  m_done = std::move(done);
  m_limit = now + m_settings.resolve_limit;
  ReadRows();
}

void ContractChange::OnTimer(TimePoint now) {
  if (!m_wakeup.has_value() || now < *m_wakeup)
    return;
  m_wakeup.reset();
  (this->*m_next_step)();
}

void ContractChange::ReadRows() {
  m_table.Submit(
      TableGet{ContractRowKey(m_change.workspace)},
      [self = shared_from_this()](TimePoint now, const TableReply& reply) {
        self->OnContractRow(now, reply);
      });
}

void ContractChange::OnContractRow(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return OnReadFailed(now);
  m_rows.contract.reset();
  m_rows.contract_version = kNoRow;
  if (!reply.rows.empty()) {
    m_rows.contract = DecodeChange(reply.rows.front().value);
    m_rows.contract_version = reply.rows.front().version;
    if (!m_rows.contract.has_value())
      return OnReadFailed(now);
  }
  // The revision row is read last, so that its log contains every change that
  // the contract's row reflects.
  m_table.Submit(
      TableGet{kRevisionRowKey},
      [self = shared_from_this()](TimePoint now, const TableReply& reply) {
        self->OnRevisionRow(now, reply);
      });
}

void ContractChange::OnRevisionRow(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk)
    return OnReadFailed(now);
  m_rows.record = RevisionRecord{};
  m_rows.record_version = kNoRow;
  if (!reply.rows.empty()) {
    std::optional<RevisionRecord> record =
        DecodeRevisionRecord(reply.rows.front().value);
    if (!record.has_value())
      return OnReadFailed(now);
    m_rows.record = std::move(*record);
    m_rows.record_version = reply.rows.front().version;
  }
  Decide(now);
}

void ContractChange::Decide(TimePoint now) {
  if (!ResolveEarlier(now) || !CheckVersion(now))
    return;
  if (now >= m_limit)
    return Finish(now, ChangeStatus::kNotWritten, kNoRow);
  BuildTransaction();
  SubmitTransaction();
}

bool ContractChange::ResolveEarlier(TimePoint now) {
  const bool is_in_row = m_rows.contract.has_value() &&
                         m_rows.contract->change_id == m_change.change_id;
  const LoggedChange* const logged =
      FindLogged(m_rows.record, m_change.change_id);
  if (is_in_row || logged != nullptr) {
    m_change.revision =
        is_in_row ? m_rows.contract->revision : logged->revision;
    FinishCommitted(now, is_in_row ? m_rows.contract_version : kNoRow);
    return false;
  }
  if (m_is_unresolved && !LogCovers(m_rows.record, m_change.revision)) {
    Finish(now, ChangeStatus::kUnknown, kNoRow);
    return false;
  }
  m_is_unresolved = false;
  return true;
}

bool ContractChange::CheckVersion(TimePoint now) {
  const bool exists =
      m_rows.contract.has_value() && !m_rows.contract->is_withdrawn;
  const RowVersion current = exists ? m_rows.contract_version : kNoRow;
  if (m_change.is_withdrawn && !exists) {
    Finish(now, ChangeStatus::kNotFound, kNoRow);
    return false;
  }
  if (m_if_version != current) {
    Finish(now, ChangeStatus::kVersionMismatch, current);
    return false;
  }
  return true;
}

void ContractChange::BuildTransaction() {
  m_change.revision = Revision(m_rows.record.revision.value() + 1);
  RevisionRecord record = m_rows.record;
  record.revision = m_change.revision;
  record.recent.push_back(
      LoggedChange{m_change.workspace, m_change.revision, m_change.change_id});
  if (record.recent.size() > kMaxLoggedChanges)
    record.recent.erase(record.recent.begin());

  const std::string key = ContractRowKey(m_change.workspace);
  m_transaction.conditions = {{key, m_rows.contract_version},
                              {kRevisionRowKey, m_rows.record_version}};
  m_transaction.puts = {{key, EncodeChange(m_change)},
                        {kRevisionRowKey, EncodeRevisionRecord(record)}};
}

void ContractChange::SubmitTransaction() {
  m_table.Submit(m_transaction, [self = shared_from_this()](
                                    TimePoint now, const TableReply& reply) {
    self->OnTransactionReply(now, reply);
  });
}

void ContractChange::OnTransactionReply(TimePoint now,
                                        const TableReply& reply) {
  switch (reply.status) {
    case TableStatus::kOk:
      return FinishCommitted(
          now, VersionOf(reply.rows, ContractRowKey(m_change.workspace)));
    case TableStatus::kConditionFailed:
      // Another change was committed first, or an earlier submission of this
      // one: the log shows which.
      return ReadRows();
    case TableStatus::kUnknown:
      m_is_unresolved = true;
      return RetryLater(now, &ContractChange::SubmitTransaction);
    case TableStatus::kUnavailable:
      if (m_is_unresolved)
        return RetryLater(now, &ContractChange::SubmitTransaction);
      return Finish(now, ChangeStatus::kNotWritten, kNoRow);
  }
}

void ContractChange::OnReadFailed(TimePoint now) {
  if (m_is_unresolved)
    return RetryLater(now, &ContractChange::ReadRows);
  Finish(now, ChangeStatus::kNotWritten, kNoRow);
}

void ContractChange::RetryLater(TimePoint now, void (ContractChange::*step)()) {
  if (now >= m_limit)
    return Finish(now, ChangeStatus::kUnknown, kNoRow);
  const double factor = 0.5 + m_random.Fraction();
  m_wakeup = now + FromSeconds(ToSeconds(m_settings.retry_delay) * factor);
  m_next_step = step;
}

void ContractChange::FinishCommitted(TimePoint now, RowVersion version) {
  Finish(now, ChangeStatus::kCommitted, version);
}

void ContractChange::Finish(TimePoint now,
                            ChangeStatus status,
                            RowVersion version) {
  m_is_done = true;
  LogLine(LogLevel::kInfo, "contract.change")
      .Add("workspace", m_change.workspace)
      .Add("change_id", m_change.change_id)
      .Add("revision", m_change.revision)
      .Add("status", ToToken(status));
  const Callback done = std::move(m_done);
  done(now, ChangeOutcome{status, version, m_change});
}

}  // namespace bulrushmount
