// Finds the route of a call in the operator's routing document, and what it
// says of the call.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_

#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/filter.h"
#include "core/pipeline/retry_detector.h"
#include "core/routes/route_table.h"

namespace bulrushmount {

class RouteFilter : public CallFilter {
 public:
  // Both must outlive the object. `tells_returns`: callers that have come back
  // are told from new ones.
  RouteFilter(RouteTable& routes, CallPipeline& pipeline, bool tells_returns)
      : m_routes(routes),
        m_pipeline(pipeline),
        m_tells_returns(tells_returns) {}

  // A node that knows no document yet refuses for now; only one that does may
  // say that there is no such route.
  FilterVerdict OnCall(TimePoint now, Call& call) override;

 private:
  RouteTable& m_routes;
  CallPipeline& m_pipeline;
  bool m_tells_returns;
  RetryDetector m_retry_detector;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
