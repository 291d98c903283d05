// The idempotency claims of a node. They make a request with an idempotency key
// run at most once, whichever entry nodes it is sent to, by a row in the table
// that is written before the dispatch.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_H_
#define BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "core/claims/claim_types.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/store/table_service.h"

namespace bulrushmount {

namespace detail {
class ClaimBookState;
}  // namespace detail

// Acquires, holds and ends the claims of this node. Every write is conditional
// on the version of the row that it replaces, and a claimed row is replaced
// only by its own claimant. So a claim needs no term: a claimant that is
// frozen, or whose answer is lost, is still the only one that may dispatch.
//
// A granted claim must be ended by exactly one call of Release, Finish or
// MarkUnknown.
class ClaimBook {
 public:
  using Callback = std::function<void(TimePoint now, ClaimResult result)>;

  // `table` and `random` must outlive the object.
  ClaimBook(ClaimSettings settings,
            TableService& table,
            RandomSource& random,
            WallAnchor wall);
  ~ClaimBook();

  ClaimBook(const ClaimBook&) = delete;
  ClaimBook& operator=(const ClaimBook&) = delete;

  // Calls `callback` once, at the latest when OnTimer is called at the deadline
  // or after `max_acquire_time`. Calls it before returning if the table is not
  // needed, but then never with kGranted. Does not call it after Release of the
  // returned id.
  ClaimId Acquire(TimePoint now, ClaimRequest request, Callback callback);

  // Must be called immediately before every dispatch. Returns true if the claim
  // is held and the deadline has not passed. On false do not dispatch, and end
  // the claim. Guards against a claimant that was frozen between grant and
  // dispatch: its caller has given up, and the run would have no receiver.
  bool CheckBeforeDispatch(TimePoint now, ClaimId claim) const;

  // Ends a claim whose request certainly did not run, so that others may claim
  // the key. Also cancels an acquisition whose caller has disconnected. Ignores
  // unknown ids.
  void Release(TimePoint now, ClaimId claim);

  // Ends a claim whose request ran with a complete answer; repeats get
  // `answer`.
  void Finish(TimePoint now, ClaimId claim, StoredAnswer answer);

  // Ends a claim whose request was dispatched without a complete answer.
  void MarkUnknown(TimePoint now, ClaimId claim);

  // Must be called at NextWakeup or later.
  void OnTimer(TimePoint now);

  // TimePoint::max() if no timer is pending.
  TimePoint NextWakeup() const;

  // Replaces the anchor after the wall clock was set.
  void SetWallAnchor(WallAnchor wall);

  ClaimStats stats() const;

  // Number of claims that are being acquired, are held, or whose outcome is not
  // written yet.
  std::size_t size() const;

  // Whether the circuit breaker refuses calls because the table has failed.
  bool is_store_failing() const;

 private:
  // Shared with the callbacks of the table, which may outlive this object.
  std::shared_ptr<detail::ClaimBookState> m_state;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_H_
