// The logic behind `claim_book.h`: each claim, what is known of its row, and
// the next step towards its goal.

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
#include "core/claims/store_breaker.h"
#include "core/claims/write_batcher.h"
#include "core/common/random.h"
#include "core/store/table_service.h"

namespace bulrushmount::detail {

// What a claim is at. Only ever goes down the list.
enum class ClaimGoal : std::uint8_t {
  // To write its claimed row, or to learn that another's is there.
  kAcquire,
  // Granted; waits for its outcome.
  kHold,
  // To write its outcome, or to make sure that nothing of it is in the table.
  kSettle,
};

// Who holds the row at its last known version.
enum class RowHolder : std::uint8_t {
  // There is no row, or a released one.
  kNobody,
  // This claim: the row is its `claimed_row`.
  kThisClaim,
  kOther,
};

struct Claim {
  ClaimId id;
  ClaimRequest request;
  std::string row_key;
  ClaimGoal goal = ClaimGoal::kAcquire;
  // Empty once it was called or the claim was released.
  ClaimBook::Callback callback;

  // As written when the claim is acquired.
  ClaimRow claimed_row;
  // Set with kSettle.
  ClaimRow outcome_row;

  // The row's last known version; the condition of the next write.
  RowVersion version = kNoRow;
  RowHolder holder = RowHolder::kNobody;
  // Of meaning with kOther.
  ClaimRow other_row;
  // Condition of a write of this claim that may yet take effect. It cannot any
  // more once the row is seen at another version, as versions never return.
  std::optional<RowVersion> open_condition;
  // A write was not answered: read the row before the next.
  bool is_read_due = false;
  // At most one read or write of a claim is under way.
  bool is_busy = false;
  // The last write was of `outcome_row`.
  bool is_outcome_sent = false;
  int writes = 0;
  // In a row.
  int failures = 0;
  TimePoint started;
  // When OnTimer looks at it: the end of an acquisition, or the next try.
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

  // Acquiring.
  ClaimResult ResultOfLocal(const Claim& claim,
                            const ClaimRequest& request) const;
  ClaimResult ResultOfRow(TimePoint now,
                          const ClaimRow& row,
                          const ClaimRequest& request) const;
  Claim& Insert(TimePoint now, ClaimRequest request, std::string row_key);
  void Grant(TimePoint now, Claim& claim);
  void Refuse(TimePoint now, Claim& claim, ClaimResult result);
  void Answer(ClaimBook::Callback callback, ClaimResult result);

  // Settling.
  void Settle(TimePoint now, Claim& claim, ClaimRowState state);
  StoredAnswer Trim(StoredAnswer answer);
  void Remove(Claim& claim);

  // The next step; all of them may remove the claim.
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
  StoreBreaker m_breaker;
  std::shared_ptr<WriteBatcher> m_batcher;
  std::uint64_t m_last_id = 0;
  std::unordered_map<ClaimId, std::unique_ptr<Claim>> m_claims;
  // Each claim once, by its row's key: two calls of a node with the same key
  // meet here and need no table.
  std::unordered_map<std::string, ClaimId> m_by_key;
  // Each claim whose wake_at is not max, once.
  std::set<std::pair<TimePoint, ClaimId>> m_timers;
  std::size_t m_settling = 0;
  std::size_t m_pending_body_bytes = 0;
  // Called when no claim is being changed, as they may call back in.
  std::deque<Reply> m_replies;
  ClaimStats m_stats;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_STATE_H_
