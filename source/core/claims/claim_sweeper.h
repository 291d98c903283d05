// Deletes claim rows past their retention, at a bounded rate for the whole
// fleet. Each node scans random shards of the table at its share of the rate.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_CLAIM_SWEEPER_H_
#define BULRUSHMOUNT_CORE_CLAIMS_CLAIM_SWEEPER_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/claims/claim_types.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/store/table_service.h"

namespace bulrushmount {

struct SweepSettings {
  // Total over the fleet; each node does its share.
  double scans_per_second = 1.0;
  // Maximum number of deletes in the one transaction after each scan.
  std::size_t max_deletes = 256;
  // Maximum difference between the wall clocks of the nodes.
  Duration clock_skew_allowance = std::chrono::hours(1);
  // Added to the retention of a row that is still claimed, because its request
  // may be running.
  Duration claimed_grace = std::chrono::hours(24);
};

struct SweepStats {
  std::uint64_t scans = 0;
  std::uint64_t rows_seen = 0;
  std::uint64_t rows_deleted = 0;
  std::uint64_t failures = 0;
};

class ClaimSweeper {
 public:
  // `table` and `random` must outlive the object.
  ClaimSweeper(SweepSettings settings,
               TableService& table,
               RandomSource& random,
               TimePoint now,
               WallAnchor wall);
  ~ClaimSweeper();

  ClaimSweeper(const ClaimSweeper&) = delete;
  ClaimSweeper& operator=(const ClaimSweeper&) = delete;

  // Scans one shard if the next scan is due. `members` is the number of live
  // nodes including this one; they share the rate.
  void OnTimer(TimePoint now, std::size_t members);

  TimePoint NextWakeup() const;

  // Replaces the anchor after the wall clock was set.
  void SetWallAnchor(WallAnchor wall);

  SweepStats stats() const;

 private:
  struct State;

  std::shared_ptr<State> m_state;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_SWEEPER_H_
