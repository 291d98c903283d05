// Matches a call to a route of the operator's routing document and applies its
// settings.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_

#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/filter.h"
#include "core/pipeline/retry_detector.h"
#include "core/routes/route_table.h"

namespace bulrushmount {

class RouteFilter : public CallFilter {
 public:
  // Both must outlive the object. `detects_retries`: the elapsed time of
  // retries is estimated; see RetryDetector.
  RouteFilter(RouteTable& routes, CallPipeline& pipeline, bool detects_retries)
      : m_routes(routes),
        m_pipeline(pipeline),
        m_detects_retries(detects_retries) {}

  // Without a routing document the call is refused as temporarily unavailable;
  // only a node that has one may report that no route matches.
  FilterVerdict OnCall(TimePoint now, Call& call) override;

 private:
  RouteTable& m_routes;
  CallPipeline& m_pipeline;
  bool m_detects_retries;
  RetryDetector m_retry_detector;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
