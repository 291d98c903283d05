// An in-memory table service for unit tests of any module. The test decides
// when each reply arrives and which faults occur.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_TABLE_SERVICE_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_TABLE_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/store/in_memory_table.h"
#include "core/store/table_service.h"

namespace bulrushmount {

enum class TableFault : std::uint8_t {
  kNone,
  // Answers kUnavailable, without effect.
  kDown,
  // Answers kUnknown, without effect.
  kSilent,
  // Takes effect and answers kUnknown.
  kAnswerLost,
};

// A request takes effect when it is submitted, like at a real table whose reply
// is in transit; `DeliverNext` delivers the reply. Replies are delivered in the
// order of submission.
class FakeTableService : public TableService {
 public:
  void Submit(TableRequest request, Callback callback) override;

  // Applies to every request that `FailNext` does not cover.
  void SetFault(TableFault fault) { m_fault = fault; }
  // The next `count` requests get `fault`, after those of earlier calls. kNone
  // exempts a request from the fault of SetFault.
  void FailNext(TableFault fault, std::size_t count = 1);

  // Delivers the oldest reply; false if there is none.
  bool DeliverNext(TimePoint now);
  // Delivers replies until none is pending, including those to requests that
  // the callbacks submit. Returns the number delivered.
  std::size_t DeliverAll(TimePoint now);
  std::size_t pending() const { return m_pending.size(); }

  // Requests submitted, whatever their fault. A transaction is one write.
  std::size_t reads() const { return m_reads; }
  std::size_t writes() const { return m_writes; }

  // Lets a test set up and inspect rows; not counted and never failing.
  InMemoryTable& table() { return m_table; }

 private:
  struct Pending {
    TableReply reply;
    Callback callback;
  };

  TableFault NextFault();
  TableReply Answer(const TableRequest& request, TableFault fault);

  InMemoryTable m_table;
  std::deque<Pending> m_pending;
  TableFault m_fault = TableFault::kNone;
  std::deque<TableFault> m_next_faults;
  std::size_t m_reads = 0;
  std::size_t m_writes = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_TABLE_SERVICE_H_
