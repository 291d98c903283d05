// Claims the idempotency key of a non-repeatable request before it is sent.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CLAIM_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CLAIM_FILTER_H_

#include "core/claims/claim_book.h"
#include "core/pipeline/filter.h"

namespace bulrushmount {

class ClaimFilter : public CallFilter {
 public:
  // Both must outlive the object.
  ClaimFilter(ClaimBook& claims, FilterContinuation& continuation)
      : m_claims(claims), m_continuation(continuation) {}

  // Refuses a call that requires a key and has none. A repeatable kind never
  // needs a claim, with or without a key.
  FilterVerdict OnCall(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

 private:
  ClaimBook& m_claims;
  FilterContinuation& m_continuation;
};

// The result of a call whose claim was not granted.
CallEnd CallEndWithoutClaim(const ClaimResult& result);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CLAIM_FILTER_H_
