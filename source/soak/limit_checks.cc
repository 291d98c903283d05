// Part of `limit_checks.h`.

#include "soak/limit_checks.h"

#include <algorithm>

#include <fmt/format.h>

namespace bulrushmount::soak {

void CheckLimits(const SoakRecord& record,
                 std::vector<std::string>& violations) {
  if (!record.has_workspaces)
    return;
  std::vector<TimePoint> times;
  for (const platform::LedgerRun& run : record.runs) {
    if (run.workspace == kLimitedWorkspace)
      times.push_back(run.started_at);
  }
  std::sort(times.begin(), times.end());
  std::size_t worst = 0;
  auto first = times.begin();
  for (auto last = times.begin(); last != times.end(); ++last) {
    while (*last - *first >= kLimitWindow)
      ++first;
    worst = std::max(worst, static_cast<std::size_t>(last - first) + 1);
  }
  if (worst > kLimitBound) {
    violations.push_back(
        fmt::format("a workspace got more than its limit: {} requests of {} "
                    "allowed in a window",
                    worst, kLimitBound));
  }
}

}  // namespace bulrushmount::soak
