// Puts row writes that come close together into one transaction, and takes a
// transaction apart again whose conditions did not all hold.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_WRITE_BATCHER_H_
#define BULRUSHMOUNT_CORE_CLAIMS_WRITE_BATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/claims/claim_types.h"
#include "core/common/time.h"
#include "core/store/table_service.h"

namespace bulrushmount::detail {

// Replaces the row at `expected` (kNoRow: inserts it).
struct RowWrite {
  ClaimId claim;
  std::string key;
  RowVersion expected;
  std::string value;
};

enum class WriteStatus : std::uint8_t {
  kWritten,
  kConflict,
  // May have taken effect, or may yet.
  kUnknown,
  // Certainly without effect.
  kUnavailable,
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  // With kWritten.
  RowVersion version;
  // With kConflict: the current row, empty if there is none.
  std::optional<Row> row;
};

enum class Urgency : std::uint8_t {
  // A call waits for it.
  kClaim,
  // Nobody waits yet, but a repeat of a request that has not run may come at
  // any moment, and must find its key free even if this node is gone by then.
  kRelease,
  // Nobody waits; it goes along with the next claim, or after the window.
  kOutcome,
};

class WriteBatcher : public std::enable_shared_from_this<WriteBatcher> {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;

    // Once for each write. May call `Add`.
    virtual void OnWriteEnded(TimePoint now,
                              ClaimId claim,
                              WriteResult result) = 0;
    // Once for each transaction, before its writes.
    virtual void OnTransactionEnded(TimePoint now,
                                    Duration took,
                                    TableStatus status) = 0;
  };

  // All three must outlive the object.
  WriteBatcher(const ClaimSettings& settings,
               TableService& table,
               Listener& listener);

  void Add(TimePoint now, RowWrite write, Urgency urgency);

  // Sends what has waited long enough.
  void OnTimer(TimePoint now);

  TimePoint NextWakeup() const;

  std::uint64_t transactions() const { return m_transactions; }
  std::uint64_t row_writes() const { return m_row_writes; }

 private:
  using Batch = std::vector<RowWrite>;

  struct Waiting {
    TimePoint since;
    RowWrite write;
  };
  using Queue = std::deque<Waiting>;

  bool IsDue(TimePoint now) const;
  void SendDue(TimePoint now);
  Batch TakeBatch();
  void TakeFrom(Queue& queue, Batch& batch) const;
  void Send(TimePoint now, Batch batch);
  void OnReply(TimePoint now, Batch batch, const TableReply& reply);
  void NotifyAll(TimePoint now, const Batch& batch, WriteStatus status);
  void ReportWritten(TimePoint now,
                     const Batch& batch,
                     const TableReply& reply);
  void Split(TimePoint now, Batch batch, const TableReply& reply);

  const ClaimSettings& m_settings;
  TableService& m_table;
  Listener& m_listener;
  // Each in order of `since`; claims and releases in the first.
  Queue m_claims;
  Queue m_outcomes;
  std::size_t m_in_flight = 0;
  std::uint64_t m_transactions = 0;
  std::uint64_t m_row_writes = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_WRITE_BATCHER_H_
