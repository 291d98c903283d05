// Metrics of the limits of workspaces at one entry, with a bounded number of
// series.

#ifndef BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_METRICS_H_
#define BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_METRICS_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/common/ids.h"
#include "core/reporting/metrics_page.h"
#include "core/workspace_limits/fleet_limiter.h"

namespace bulrushmount {

// Workspaces with a series of their own; all others share one.
inline constexpr std::size_t kMaxWorkspaceSeries = 20;

class WorkspaceMetrics {
 public:
  // `registry` must outlive the object.
  explicit WorkspaceMetrics(MetricsRegistry& registry) : m_registry(registry) {}

  // Adds what has been counted since the last call. `named` are the workspaces
  // with a series of their own; which ones may change. Once
  // kMaxWorkspaceSeries have had one, further ones are counted as `other`.
  void Update(const std::vector<WorkspaceCounters>& counters,
              const std::vector<WorkspaceName>& named);

 private:
  MetricsRegistry& m_registry;
  std::unordered_map<WorkspaceName, UnitCounters> m_reported;
  // Workspaces that have, or have had, a series.
  std::vector<WorkspaceName> m_named;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_METRICS_H_
