// Part of `claim_types.h`.

#include "core/claims/claim_types.h"

#include <fmt/format.h>

namespace bulrushmount {

namespace {

constexpr int kConflictStatus = 409;

}  // namespace

Reason ReasonOf(ClaimStatus status) {
  switch (status) {
    case ClaimStatus::kGranted:
    case ClaimStatus::kFinished:
      return Reason::kNone;
    case ClaimStatus::kInProgress:
      return Reason::kInProgress;
    case ClaimStatus::kEarlierOutcomeUnknown:
      return Reason::kEarlierOutcomeUnknown;
    case ClaimStatus::kKeyReused:
      return Reason::kIdempotencyKeyReused;
    case ClaimStatus::kKeyInvalid:
      return Reason::kMalformedRequest;
    case ClaimStatus::kStoreUnavailable:
      return Reason::kStoreUnavailable;
  }
  return Reason::kStoreUnavailable;
}

StoredAnswer ToReplay(const StoredAnswer& answer) {
  if (answer.is_body_kept)
    return answer;
  StoredAnswer notice;
  notice.status = kConflictStatus;
  notice.content_type = "text/plain; charset=utf-8";
  notice.body = fmt::format(
      "This request has already run once and was answered with status {}. That "
      "answer was not kept. The request was not run again.\n",
      answer.status);
  return notice;
}

}  // namespace bulrushmount
