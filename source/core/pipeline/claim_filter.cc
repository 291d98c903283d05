// Implements `claim_filter.h`.

#include "core/pipeline/claim_filter.h"

#include <utility>

namespace bulrushmount {

FilterVerdict ClaimFilter::OnCall(TimePoint now, Call& call) {
  if (call.terms.kind.is_repeatable)
    return PassCall{};
  if (!call.head.idempotency_key) {
    if (call.terms.kind.key_policy == KeyPolicy::kOptional)
      return PassCall{};
    return RefuseCall(Reason::kIdempotencyKeyRequired);
  }

  ClaimRequest request;
  request.workspace = call.head.workspace;
  request.key = *call.head.idempotency_key;
  request.fingerprint = call.head.fingerprint;
  request.deadline = call.deadline;
  request.retention = call.terms.key_retention;
  // Set before the result is known, so that a call that ends while it waits
  // releases its claim.
  const CallId id = call.id;
  call.claim = m_claims.Acquire(
      now, std::move(request),
      [this, id](TimePoint at, const ClaimResult& result) {
        if (result.status == ClaimStatus::kGranted) {
          m_continuation.Resume(at, id, PassCall{});
          return;
        }
        m_continuation.Resume(at, id, EndCall{CallEndWithoutClaim(result)});
      });
  return HoldCall{};
}

void ClaimFilter::OnCallEnded(TimePoint now, Call& call, const CallEnd& end) {
  if (!call.claim)
    return;
  const ClaimId claim = *std::exchange(call.claim, std::nullopt);
  // The claim book ignores these calls for a claim that was not granted.
  if (end.outcome == Outcome::kAnswered)
    m_claims.Finish(now, claim, end.answer);
  else if (call.may_have_run)
    m_claims.MarkUnknown(now, claim);
  else
    m_claims.Release(now, claim);
}

CallEnd CallEndWithoutClaim(const ClaimResult& result) {
  CallEnd end;
  end.reason = ReasonOf(result.status);
  switch (result.status) {
    case ClaimStatus::kFinished:
      end.outcome = Outcome::kAnswered;
      end.answer = ToReplay(result.answer);
      end.is_replay = true;
      break;
    // The original request with this key is running or has run elsewhere. "Not
    // run" would be correct only for this copy, and the caller would repeat an
    // operation that may have been executed.
    case ClaimStatus::kInProgress:
    case ClaimStatus::kEarlierOutcomeUnknown:
      end.outcome = Outcome::kUnknown;
      break;
    case ClaimStatus::kGranted:
    case ClaimStatus::kKeyReused:
    case ClaimStatus::kKeyInvalid:
    case ClaimStatus::kStoreUnavailable:
      end.outcome = Outcome::kNotRun;
      break;
  }
  return end;
}

}  // namespace bulrushmount
