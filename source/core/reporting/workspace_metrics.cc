// Part of `workspace_metrics.h`.

#include "core/reporting/workspace_metrics.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace bulrushmount {

namespace {

constexpr char kOther[] = "other";

// Counters that are lower than before were started anew.
std::uint64_t Increase(std::uint64_t before, std::uint64_t now) {
  return now >= before ? now - before : now;
}

}  // namespace

void WorkspaceMetrics::Update(const std::vector<WorkspaceCounters>& counters,
                              const std::vector<WorkspaceName>& named) {
  const auto has_series = [this](const WorkspaceName& workspace) {
    return std::find(m_named.begin(), m_named.end(), workspace) !=
           m_named.end();
  };
  for (const WorkspaceName& workspace : named) {
    if (m_named.size() < kMaxWorkspaceSeries && !has_series(workspace))
      m_named.push_back(workspace);
  }
  std::unordered_map<WorkspaceName, UnitCounters> reported;
  for (const WorkspaceCounters& one : counters) {
    const UnitCounters& before = m_reported[one.workspace];
    const UnitCounters& now = one.counters;
    const std::string label =
        has_series(one.workspace) ? one.workspace.value() : kOther;
    const auto add = [this, &label](const char* result, std::uint64_t amount) {
      m_registry
          .GetCounter("bulrushmount_workspace_calls_total",
                      "Calls of workspaces with a limit at this entry. `held` "
                      "and `fallback` are parts of the others.",
                      {{"workspace", label}, {"result", result}})
          .Add(amount);
    };
    add("admitted", Increase(before.admitted, now.admitted));
    add("refused", Increase(before.refused, now.refused));
    add("held", Increase(before.held, now.held));
    add("fallback", Increase(before.fallback, now.fallback));
    reported[one.workspace] = now;
  }
  m_reported = std::move(reported);
}

}  // namespace bulrushmount
