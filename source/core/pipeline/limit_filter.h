// Applies the rate and concurrency limits of the workspace to a call.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_LIMIT_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_LIMIT_FILTER_H_

#include "core/limits/workspace_limiter.h"
#include "core/pipeline/filter.h"

namespace bulrushmount {

class LimitFilter : public CallFilter {
 public:
  // `limiter` must outlive the object.
  explicit LimitFilter(WorkspaceLimiter& limiter) : m_limiter(limiter) {}

  FilterVerdict OnCall(TimePoint now, Call& call) override;
  void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) override;

 private:
  WorkspaceLimiter& m_limiter;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_LIMIT_FILTER_H_
