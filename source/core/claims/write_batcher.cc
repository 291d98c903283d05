// Part of `write_batcher.h`.

#include "core/claims/write_batcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bulrushmount::detail {

namespace {

const Row* FindRow(const TableReply& reply, const std::string& key) {
  const auto found = std::ranges::find(reply.rows, key, &Row::key);
  return found == reply.rows.end() ? nullptr : &*found;
}

TableTransact ToTransaction(const std::vector<RowWrite>& batch) {
  TableTransact transaction;
  transaction.conditions.reserve(batch.size());
  transaction.puts.reserve(batch.size());
  for (const RowWrite& write : batch) {
    transaction.conditions.push_back({write.key, write.expected});
    transaction.puts.push_back({write.key, write.value});
  }
  return transaction;
}

}  // namespace

WriteBatcher::WriteBatcher(const ClaimSettings& settings,
                           TableService& table,
                           Listener& listener)
    : m_settings(settings), m_table(table), m_listener(listener) {}

void WriteBatcher::Add(TimePoint now, RowWrite write, Urgency urgency) {
  Queue& queue = urgency == Urgency::kOutcome ? m_outcomes : m_claims;
  queue.push_back({now, std::move(write)});
  SendDue(now);
}

void WriteBatcher::OnTimer(TimePoint now) {
  SendDue(now);
}

TimePoint WriteBatcher::NextWakeup() const {
  TimePoint wakeup = TimePoint::max();
  if (!m_claims.empty())
    wakeup = m_claims.front().since + m_settings.claim_window;
  if (!m_outcomes.empty()) {
    wakeup =
        std::min(wakeup, m_outcomes.front().since + m_settings.outcome_window);
  }
  return wakeup;
}

bool WriteBatcher::IsDue(TimePoint now) const {
  if (m_claims.size() + m_outcomes.size() >= m_settings.max_batch)
    return true;
  // Without a transaction in flight, waiting would only delay a claim. With one
  // in flight more claims are likely to arrive, and batching saves the table a
  // transaction for each.
  if (!m_claims.empty() && m_in_flight == 0)
    return true;
  return NextWakeup() <= now;
}

void WriteBatcher::SendDue(TimePoint now) {
  while (!(m_claims.empty() && m_outcomes.empty()) && IsDue(now))
    Send(now, TakeBatch());
}

WriteBatcher::Batch WriteBatcher::TakeBatch() {
  Batch batch;
  TakeFrom(m_claims, batch);
  TakeFrom(m_outcomes, batch);
  return batch;
}

void WriteBatcher::TakeFrom(Queue& queue, Batch& batch) const {
  const std::size_t limit = std::max<std::size_t>(m_settings.max_batch, 1);
  while (!queue.empty() && batch.size() < limit) {
    batch.push_back(std::move(queue.front().write));
    queue.pop_front();
  }
}

void WriteBatcher::Send(TimePoint now, Batch batch) {
  ++m_in_flight;
  ++m_transactions;
  m_row_writes += batch.size();
  TableTransact transaction = ToTransaction(batch);
  m_table.Submit(
      std::move(transaction),
      [weak = weak_from_this(), sent = now, batch = std::move(batch)](
          TimePoint then, const TableReply& reply) {
        const auto self = weak.lock();
        if (!self)
          return;
        --self->m_in_flight;
        self->m_listener.OnTransactionEnded(then, then - sent, reply.status);
        self->OnReply(then, batch, reply);
        self->SendDue(then);
      });
}

void WriteBatcher::OnReply(TimePoint now,
                           Batch batch,
                           const TableReply& reply) {
  switch (reply.status) {
    case TableStatus::kOk:
      ReportWritten(now, batch, reply);
      return;
    case TableStatus::kConditionFailed:
      Split(now, std::move(batch), reply);
      return;
    case TableStatus::kUnknown:
      NotifyAll(now, batch, WriteStatus::kUnknown);
      return;
    case TableStatus::kUnavailable:
      NotifyAll(now, batch, WriteStatus::kUnavailable);
      return;
  }
}

void WriteBatcher::NotifyAll(TimePoint now,
                             const Batch& batch,
                             WriteStatus status) {
  for (const RowWrite& write : batch)
    m_listener.OnWriteEnded(now, write.claim, {status, kNoRow, std::nullopt});
}

void WriteBatcher::ReportWritten(TimePoint now,
                                 const Batch& batch,
                                 const TableReply& reply) {
  for (const RowWrite& write : batch) {
    const Row* row = FindRow(reply, write.key);
    WriteResult result;
    if (row != nullptr) {
      result.status = WriteStatus::kWritten;
      result.version = row->version;
    }
    m_listener.OnWriteEnded(now, write.claim, std::move(result));
  }
}

// One failed condition prevents all writes of the transaction. The writes whose
// rows are in the reply have conflicts and are reported; the others are sent
// again without them. A condition on a row that no longer exists returns no
// row: if there are no rows in the reply, each write is sent alone.
void WriteBatcher::Split(TimePoint now, Batch batch, const TableReply& reply) {
  if (batch.size() == 1) {
    WriteResult result{WriteStatus::kConflict, kNoRow, std::nullopt};
    if (const Row* row = FindRow(reply, batch.front().key))
      result.row = *row;
    m_listener.OnWriteEnded(now, batch.front().claim, std::move(result));
    return;
  }
  Batch rest;
  Batch conflicting;
  for (RowWrite& write : batch) {
    const bool is_conflicting = FindRow(reply, write.key) != nullptr;
    (is_conflicting ? conflicting : rest).push_back(std::move(write));
  }
  if (conflicting.empty()) {
    for (RowWrite& write : rest)
      Send(now, {std::move(write)});
    return;
  }
  if (!rest.empty())
    Send(now, std::move(rest));
  for (const RowWrite& write : conflicting) {
    const Row* row = FindRow(reply, write.key);
    m_listener.OnWriteEnded(now, write.claim,
                            {WriteStatus::kConflict, kNoRow, *row});
  }
}

}  // namespace bulrushmount::detail
