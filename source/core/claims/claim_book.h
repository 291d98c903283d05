// A node's idempotency claims: "runs at most once" for keyed requests, over all
// entry nodes, by a row in the table that is written before the dispatch.

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

// Every write names the row version that it replaces, and a claimed row is
// replaced by its own claimant only. So a claim needs no term: a claimant that
// is frozen, or whose answer is lost, still is the only one that may dispatch.
//
// A granted claim ends with exactly one of Release, Finish and MarkUnknown.
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

  // Calls `callback` once: at the latest when OnTimer is called at the
  // deadline or after `max_acquire_time`; before returning if the table need
  // not be asked, but never with kGranted then. Never after Release of the
  // returned id.
  ClaimId Acquire(TimePoint now, ClaimRequest request, Callback callback);

  // Asked immediately before every dispatch. True: the claim is held and the
  // deadline has not passed. False: do not dispatch; end the claim instead.
  // Guards against a claimant that was frozen between grant and dispatch, whose
  // caller has given up: it would run a request that nobody waits for.
  bool CheckBeforeDispatch(TimePoint now, ClaimId claim) const;

  // The request certainly did not run (or the caller has gone while Acquire
  // is under way): others may claim the key. Unknown ids are ignored.
  void Release(TimePoint now, ClaimId claim);

  // It ran, and its whole answer came: repeats get `answer`.
  void Finish(TimePoint now, ClaimId claim, StoredAnswer answer);

  // It was handed over, and no whole answer came.
  void MarkUnknown(TimePoint now, ClaimId claim);

  // To be called at NextWakeup or later.
  void OnTimer(TimePoint now);

  // TimePoint::max() if there is nothing to wait for.
  TimePoint NextWakeup() const;

  // Ties the clocks anew, when the wall clock was set.
  void SetWallAnchor(WallAnchor wall);

  ClaimStats stats() const;

  // Claims that are being acquired, held, or whose outcome is not written.
  std::size_t size() const;

  // Whether calls are refused at once because the table has failed.
  bool is_store_failing() const;

 private:
  // Shared with the table's callbacks, which may outlive this object.
  std::shared_ptr<detail::ClaimBookState> m_state;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_BOOK_H_
