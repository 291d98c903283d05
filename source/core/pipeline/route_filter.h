// Matches a call to a route of the operator's routing document, identifies its
// workspace and applies the settings of both.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_

#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/filter.h"
#include "core/pipeline/retry_detector.h"
#include "core/pipeline/workspace_check.h"
#include "core/routes/route_table.h"

namespace bulrushmount {

class RouteFilter : public CallFilter {
 public:
  // `routes` and `pipeline` must outlive the object. `detects_retries`: the
  // elapsed time of retries is estimated; see RetryDetector.
  RouteFilter(RouteTable& routes,
              CallPipeline& pipeline,
              const WorkspaceCheck& workspaces,
              bool detects_retries)
      : m_routes(routes),
        m_pipeline(pipeline),
        m_workspaces(workspaces),
        m_detects_retries(detects_retries) {}

  // Without a routing document the call is refused as temporarily unavailable;
  // only a node that has one may report that no route matches or that a key is
  // unknown.
  //
  // The workspace is checked before a service is selected and before the caller
  // timeout is recorded. Otherwise requests with unknown keys, which anyone can
  // send, would shift the shares of a route and the estimates of its retries.
  FilterVerdict OnCall(TimePoint now, Call& call) override;

 private:
  RouteTable& m_routes;
  CallPipeline& m_pipeline;
  WorkspaceCheck m_workspaces;
  bool m_detects_retries;
  RetryDetector m_retry_detector;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ROUTE_FILTER_H_
