// The requests, results and settings of idempotency claims, as values.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_CLAIM_TYPES_H_
#define BULRUSHMOUNT_CORE_CLAIMS_CLAIM_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/strong_type.h"
#include "core/common/time.h"

namespace bulrushmount {

// Wall-clock time. Rows outlive their writers, so their age can be told by no
// other clock. It chooses words and the moment of the sweep, and never decides
// whether a request may run.
using WallTime = std::chrono::system_clock::time_point;

// Ties a node's monotonic clock to the wall clock.
struct WallAnchor {
  TimePoint monotonic;
  WallTime wall;

  WallTime At(TimePoint now) const {
    return wall +
           std::chrono::duration_cast<WallTime::duration>(now - monotonic);
  }
};

// A claim of this node, from `Acquire` until its outcome is written. Never 0.
using ClaimId = StrongType<struct ClaimIdTag, std::uint64_t>;

struct ClaimRequest {
  WorkspaceName workspace;
  IdempotencyKey key;
  // Tells whether a repeat of the key is the same request.
  Fingerprint fingerprint;
  // The call's own; no dispatch is allowed from then on.
  TimePoint deadline;
  // The contract's `key_retention`.
  Duration retention{};
};

// What is kept of the first run's answer.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // False if the body was above `ClaimSettings::max_body_bytes` or could not
  // be held; then `body` and `content_type` are empty.
  bool is_body_kept = true;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

enum class ClaimStatus : std::uint8_t {
  // This call, and no other anywhere, may dispatch the request.
  kGranted,
  // Another call holds the claim.
  kInProgress,
  // It ran; `ClaimResult::answer` is what to replay.
  kFinished,
  // It may have run, and nobody will find out.
  kEarlierOutcomeUnknown,
  // The key belongs to another request. Not run.
  kKeyReused,
  // Empty, or longer than kMaxIdempotencyKeyLength. Not run.
  kKeyInvalid,
  // This call was not run: the table gave no usable answer in time.
  kStoreUnavailable,
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kStoreUnavailable;
  // Only with kFinished.
  StoredAnswer answer;
};

// The reason that a caller is given; kNone for kGranted and kFinished.
Reason ReasonOf(ClaimStatus status);

// What a repeat is told when the first run's body was not kept: a 409 that
// names the status of the first run. Returns `answer` itself if it was kept.
StoredAnswer ToReplay(const StoredAnswer& answer);

inline constexpr std::size_t kMaxIdempotencyKeyLength = 255;

struct ClaimSettings {
  // How long a call waits for its claim, if its deadline is not sooner.
  Duration max_acquire_time = std::chrono::seconds(1);
  // How long a claim waits for company while a transaction is in flight. One
  // that finds none in flight is sent at once.
  Duration claim_window = std::chrono::milliseconds(1);
  // How long outcomes, for which nobody waits, are collected.
  Duration outcome_window = std::chrono::milliseconds(50);
  // Row writes in one transaction; 1 turns batching off.
  std::size_t max_batch = 32;
  std::size_t max_body_bytes = std::size_t{16} * 1024;
  // Bodies of answers whose rows are not written yet, all together. Beyond
  // it only the status is stored.
  std::size_t max_pending_body_bytes = std::size_t{8} * 1024 * 1024;
  // Claims whose outcome is not written yet. Beyond it the newest outcome is
  // dropped, and repeats hear "in progress", later "outcome unknown".
  std::size_t max_pending_outcomes = 4096;
  // Failures in a row after which calls are refused without asking the table.
  int failures_to_open = 3;
  // How often one request is let through while calls are refused.
  Duration trial_interval = std::chrono::seconds(1);
  // First pause before an outcome is written again; doubles to the longest.
  Duration first_retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(16);
  // A claim older than its deadline by this much is told as "outcome unknown"
  // and no longer as "in progress".
  Duration in_progress_grace = std::chrono::seconds(60);
};

// Counted from the start of the process.
struct ClaimStats {
  std::uint64_t granted = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t finished = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t key_reused = 0;
  std::uint64_t store_unavailable = 0;
  std::uint64_t transactions = 0;
  std::uint64_t row_writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t outcomes_dropped = 0;
  std::uint64_t bodies_not_kept = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_TYPES_H_
