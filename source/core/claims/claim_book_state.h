// The implementation of `claim_book.h`: for each claim its goal, the last known
// state of its row, and the next step towards the goal.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_STATE_H_
#define BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/claims/claim_book.h"
#include "core/claims/claim_row.h"
#include "core/claims/store_circuit_breaker.h"
#include "core/claims/write_batcher.h"
#include "core/common/random.h"
#include "core/store/table_service.h"

namespace bulrushmount::detail {

// The goal of a claim. It changes only in the order of the list.
enum class ClaimGoal : std::uint8_t {
  // Write the claimed row, or learn that another claim holds it.
  kAcquire,
  // Granted; waits for the outcome of the call.
  kHold,
  // Write the outcome, or make sure that the table has nothing of this claim.
  kSettle,
};

// Who holds the row at its last known version.
enum class RowHolder : std::uint8_t {
  // There is no row, or it is released.
  kNoClaim,
  // This claim; the row equals `claimed_row`.
  kThisClaim,
  kOther,
};

struct Claim {
  ClaimId id;
  ClaimRequest request;
  std::string row_key;
  ClaimGoal goal = ClaimGoal::kAcquire;
  // Empty after it was called or the claim was released.
  ClaimBook::Callback callback;

  // The row that acquires the claim.
  ClaimRow claimed_row;
  // The row that ends the claim; valid with kSettle.
  ClaimRow outcome_row;

  // Last known version of the row; the condition of the next write.
  RowVersion version = kNoRow;
  RowHolder holder = RowHolder::kNoClaim;
  // Valid with kOther.
  ClaimRow other_row;
  // Condition of a write of this claim that was not answered and may still take
  // effect. Once the row is seen at another version it cannot any more, because
  // versions are never reused.
  std::optional<RowVersion> pending_write_condition;
  // A write was not answered; the row must be read before the next write.
  bool is_read_due = false;
  // A read or write is in flight; there is at most one.
  bool is_request_in_flight = false;
  // Whether the last write was of `outcome_row`.
  bool is_outcome_sent = false;
  int writes = 0;
  // Consecutive failures.
  int failures = 0;
  TimePoint started;
  // When OnTimer handles the claim: the end of the acquisition, or the next
  // retry.
  TimePoint wake_at = TimePoint::max();
};

class ClaimBookState : public WriteBatcher::Listener,
                       public std::enable_shared_from_this<ClaimBookState> {
 public:
  ClaimBookState(ClaimSettings settings,
                 TableService& table,
                 RandomSource& random,
                 WallAnchor wall);

  ClaimId Acquire(TimePoint now,
                  ClaimRequest request,
                  ClaimBook::Callback callback);
  bool CheckBeforeDispatch(TimePoint now, ClaimId id) const;
  void Release(TimePoint now, ClaimId id);
  void Finish(TimePoint now, ClaimId id, StoredAnswer answer);
  void MarkUnknown(TimePoint now, ClaimId id);
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;
  void SetWallAnchor(WallAnchor wall) { m_wall = wall; }

  ClaimStats stats() const;
  std::size_t size() const { return m_claims.size(); }
  bool is_store_failing() const { return m_breaker.is_open(); }

  // WriteBatcher::Listener:
  void OnWriteEnded(TimePoint now, ClaimId id, WriteResult result) override;
  void OnTransactionEnded(TimePoint now,
                          Duration took,
                          TableStatus status) override;

 private:
  struct Reply {
    ClaimBook::Callback callback;
    ClaimResult result;
  };

  // Acquiring a claim.
  ClaimResult ResultOfLocal(const Claim& claim,
                            const ClaimRequest& request) const;
  ClaimResult ResultOfRow(TimePoint now,
                          const ClaimRow& row,
                          const ClaimRequest& request) const;
  Claim& Insert(TimePoint now, ClaimRequest request, std::string row_key);
  void Grant(TimePoint now, Claim& claim);
  void Refuse(TimePoint now, Claim& claim, ClaimResult result);
  void QueueReply(ClaimBook::Callback callback, ClaimResult result);

  // Writing the outcome of a claim.
  void Settle(TimePoint now, Claim& claim, ClaimRowState state);
  StoredAnswer LimitBody(StoredAnswer answer);
  void Remove(Claim& claim);

  // Take the next step; each of these may remove the claim.
  void Advance(TimePoint now, Claim& claim);
  void AdvanceAcquire(TimePoint now, Claim& claim);
  void AdvanceSettle(TimePoint now, Claim& claim);
  void Read(TimePoint now, Claim& claim);
  void Write(TimePoint now, Claim& claim, const ClaimRow& row, Urgency urgency);
  void OnRead(TimePoint now, ClaimId id, Duration took, TableReply reply);
  void OnWritten(TimePoint now, Claim& claim, RowVersion version);
  void OnFailed(TimePoint now, Claim& claim);
  void CountReply(TimePoint now, Duration took, TableStatus status);
  void CountResult(ClaimStatus status);

  // Timers and replies.
  Claim* Find(ClaimId id);
  void SetWake(Claim& claim, TimePoint wake_at);
  void OnWake(TimePoint now, Claim& claim);
  Duration RetryPause(int failures);
  void SendReplies(TimePoint now);

  ClaimSettings m_settings;
  TableService& m_table;
  RandomSource& m_random;
  WallAnchor m_wall;
  StoreCircuitBreaker m_breaker;
  std::shared_ptr<WriteBatcher> m_batcher;
  std::uint64_t m_last_id = 0;
  std::unordered_map<ClaimId, std::unique_ptr<Claim>> m_claims;
  // The claims by row key, so that calls of one node with the same key conflict
  // without a request to the table.
  std::unordered_map<std::string, ClaimId> m_by_key;
  // Holds each claim whose wake_at is not max once.
  std::set<std::pair<TimePoint, ClaimId>> m_timers;
  std::size_t m_settling = 0;
  std::size_t m_pending_body_bytes = 0;
  // Replies are sent when no claim is being changed, because callbacks may call
  // back into the object.
  std::deque<Reply> m_replies;
  ClaimStats m_stats;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_STATE_H_
