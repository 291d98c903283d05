// Queues replies until a test delivers them.

#include "unit_tests/core/store/fake_table_service.h"

#include <utility>
#include <variant>

namespace bulrushmount {

void FakeTableService::Submit(TableRequest request, Callback callback) {
  if (std::holds_alternative<TableTransact>(request)) {
    ++m_writes;
  } else {
    ++m_reads;
  }
  m_pending.push_back({Answer(request, NextFault()), std::move(callback)});
}

void FakeTableService::FailNext(TableFault fault, std::size_t count) {
  m_next_faults.insert(m_next_faults.end(), count, fault);
}

bool FakeTableService::DeliverNext(TimePoint now) {
  if (m_pending.empty()) {
    return false;
  }
  Pending next = std::move(m_pending.front());
  m_pending.pop_front();
  next.callback(now, std::move(next.reply));
  return true;
}

std::size_t FakeTableService::DeliverAll(TimePoint now) {
  std::size_t delivered = 0;
  while (DeliverNext(now)) {
    ++delivered;
  }
  return delivered;
}

TableFault FakeTableService::NextFault() {
  if (m_next_faults.empty()) {
    return m_fault;
  }
  const TableFault fault = m_next_faults.front();
  m_next_faults.pop_front();
  return fault;
}

TableReply FakeTableService::Answer(const TableRequest& request,
                                    TableFault fault) {
  if (fault == TableFault::kDown) {
    return {TableStatus::kUnavailable, {}};
  }
  if (fault == TableFault::kSilent) {
    return {TableStatus::kUnknown, {}};
  }
  TableReply reply = m_table.Apply(request);
  if (fault == TableFault::kAnswerLost) {
    return {TableStatus::kUnknown, {}};
  }
  return reply;
}

}  // namespace bulrushmount
