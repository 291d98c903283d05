// Batches row writes that arrive close together into one transaction, and
// splits a transaction whose conditions did not all hold.

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

// Replaces the row at version `expected`, or inserts it if that is kNoRow.
struct RowWrite {
  ClaimId claim;
  std::string key;
  RowVersion expected;
  std::string value;
};

enum class WriteStatus : std::uint8_t {
  kWritten,
  kConflict,
  // The write may have taken effect, or may still do so.
  kUnknown,
  // The write certainly had no effect.
  kUnavailable,
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  // Valid with kWritten.
  RowVersion version;
  // Valid with kConflict: the current row, empty if there is none.
  std::optional<Row> row;
};

enum class Urgency : std::uint8_t {
  // A call waits for the write.
  kClaim,
  // No call waits, but a repeat of the request, which has not run, may arrive
  // at any time. It must find the key released even if this node has failed by
  // then.
  kRelease,
  // No call waits; the write is sent with the next claim or after the window.
  kOutcome,
};

class WriteBatcher : public std::enable_shared_from_this<WriteBatcher> {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;

    // Called once for each write. May call `Add`.
    virtual void OnWriteEnded(TimePoint now,
                              ClaimId claim,
                              WriteResult result) = 0;
    // Called once for each transaction, before the calls for its writes.
    virtual void OnTransactionEnded(TimePoint now,
                                    Duration took,
                                    TableStatus status) = 0;
  };

  // `settings`, `table` and `listener` must outlive the object.
  WriteBatcher(const ClaimSettings& settings,
               TableService& table,
               Listener& listener);

  void Add(TimePoint now, RowWrite write, Urgency urgency);

  // Sends the writes whose window has ended.
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
  // Both in order of `since`. m_claims holds claims and releases.
  Queue m_claims;
  Queue m_outcomes;
  std::size_t m_in_flight = 0;
  std::uint64_t m_transactions = 0;
  std::uint64_t m_row_writes = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_WRITE_BATCHER_H_
