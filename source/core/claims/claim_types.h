// The requests, results, settings and statistics of idempotency claims.

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

// Wall-clock time. Rows outlive the process that wrote them, so no monotonic
// clock can measure their age. It only selects the status that is reported and
// the time when a row is deleted, and never decides whether a request may run.
using WallTime = std::chrono::system_clock::time_point;

// Converts times of the monotonic clock of a node to wall-clock time.
struct WallAnchor {
  TimePoint monotonic;
  WallTime wall;

  WallTime At(TimePoint now) const {
    return wall +
           std::chrono::duration_cast<WallTime::duration>(now - monotonic);
  }
};

// Identifies a claim of this node, from `Acquire` until its outcome is written.
// Never 0.
using ClaimId = StrongType<struct ClaimIdTag, std::uint64_t>;

struct ClaimRequest {
  WorkspaceName workspace;
  IdempotencyKey key;
  // Distinguishes a repeat of the same request from another request with the
  // same key.
  Fingerprint fingerprint;
  // Deadline of the call; no dispatch is allowed from then on.
  TimePoint deadline;
  // `key_retention` of the contract.
  Duration retention{};
};

// The stored part of the answer of the first run.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // False if the body was larger than `ClaimSettings::max_body_bytes` or could
  // not be buffered; then `body` and `content_type` are empty.
  bool is_body_kept = true;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

enum class ClaimStatus : std::uint8_t {
  // This call, and no other on any node, may dispatch the request.
  kGranted,
  // Another call holds the claim.
  kInProgress,
  // The request has run; replay `ClaimResult::answer`.
  kFinished,
  // The request may have run, and its outcome cannot be determined.
  kEarlierOutcomeUnknown,
  // The key was used for another request. Not run.
  kKeyReused,
  // The key is empty or longer than kMaxIdempotencyKeyLength. Not run.
  kKeyInvalid,
  // The table gave no usable reply in time. This call was not run.
  kStoreUnavailable,
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kStoreUnavailable;
  // Only with kFinished.
  StoredAnswer answer;
};

// Returns the reason to report to the caller; kNone for kGranted and kFinished.
Reason ReasonOf(ClaimStatus status);

// Returns the answer for a repeat: `answer` itself if its body was kept,
// otherwise a 409 that states the status of the first run.
StoredAnswer ToReplay(const StoredAnswer& answer);

inline constexpr std::size_t kMaxIdempotencyKeyLength = 255;

struct ClaimSettings {
  // Maximum time that a call waits for its claim, unless its deadline is
  // earlier.
  Duration max_acquire_time = std::chrono::seconds(1);
  // How long a claim waits to be batched with others while a transaction is in
  // flight. Without a transaction in flight it is sent immediately.
  Duration claim_window = std::chrono::milliseconds(1);
  // How long outcomes are batched; no call waits for them.
  Duration outcome_window = std::chrono::milliseconds(50);
  // Maximum number of row writes in one transaction; 1 disables batching.
  std::size_t max_batch = 32;
  std::size_t max_body_bytes = std::size_t{16} * 1024;
  // Maximum total size of the bodies whose rows are not written yet. Beyond it
  // only the status is stored.
  std::size_t max_pending_body_bytes = std::size_t{8} * 1024 * 1024;
  // Maximum number of claims whose outcome is not written yet. Beyond it the
  // newest outcome is dropped, and repeats are reported as "in progress" and
  // later as "outcome unknown".
  std::size_t max_pending_outcomes = 4096;
  // Number of consecutive failures after which calls are refused without a
  // request to the table.
  int failures_to_open = 3;
  // Interval between the trial requests that are let through while calls are
  // refused.
  Duration trial_interval = std::chrono::seconds(1);
  // Pause before the first retry of an outcome write. It doubles with each
  // retry up to `max_retry_pause`.
  Duration initial_retry_pause = std::chrono::milliseconds(500);
  Duration max_retry_pause = std::chrono::seconds(16);
  // A claim whose deadline passed more than this long ago is reported as
  // "outcome unknown" instead of "in progress".
  Duration in_progress_grace = std::chrono::seconds(60);
};

// Counters since the start of the process.
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
