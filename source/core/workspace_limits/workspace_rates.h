// The limits of all workspaces of the active routing document.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_RATES_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_RATES_H_

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/ids.h"
#include "core/limits/rendezvous.h"
#include "core/workspace_limits/workspace_limits_settings.h"

namespace bulrushmount {

struct NamedRate {
  WorkspaceName workspace;
  WorkspaceRate rate;
};

namespace detail {

struct ActiveRate {
  WorkspaceName workspace;
  // As the document states it.
  WorkspaceRate limit;
  // What the home's bucket has.
  WorkspaceRate rate;
};

class WorkspaceRates {
 public:
  // Workspaces without a limit need no record.
  void Replace(std::vector<NamedRate> rates, Duration window) {
    m_rates.clear();
    m_is_known = true;
    for (NamedRate& named : rates) {
      if (!named.rate.IsLimited())
        continue;
      const WorkspaceKey key = KeyOf(named.workspace);
      m_rates.insert_or_assign(
          key, ActiveRate{std::move(named.workspace), named.rate,
                          BucketRate(named.rate, window)});
    }
  }

  // Null if the workspace has no limit or is unknown.
  const ActiveRate* Find(WorkspaceKey workspace) const {
    const auto found = m_rates.find(workspace);
    return found == m_rates.end() ? nullptr : &found->second;
  }

  std::vector<WorkspaceName> Largest(std::size_t count) const {
    std::vector<const ActiveRate*> sorted;
    sorted.reserve(m_rates.size());
    for (const auto& [key, rate] : m_rates)
      sorted.push_back(&rate);
    std::sort(
        sorted.begin(), sorted.end(),
        [](const ActiveRate* left, const ActiveRate* right) {
          return std::pair(-left->rate.units_per_second, left->workspace) <
                 std::pair(-right->rate.units_per_second, right->workspace);
        });
    sorted.resize(std::min(sorted.size(), count));
    std::vector<WorkspaceName> names;
    names.reserve(sorted.size());
    for (const ActiveRate* rate : sorted)
      names.push_back(rate->workspace);
    return names;
  }

  bool empty() const { return m_rates.empty(); }
  // Whether this process has a document.
  bool is_known() const { return m_is_known; }

 private:
  // A burst without a rate is allowed once per window. As a bucket would never
  // refill, half of it is granted at once and half over a window.
  static WorkspaceRate BucketRate(const WorkspaceRate& limit, Duration window) {
    if (limit.units_per_second > 0)
      return limit;
    const double half = limit.burst_units / 2;
    return {half / ToSeconds(window), half};
  }

  bool m_is_known = false;
  std::unordered_map<WorkspaceKey, ActiveRate> m_rates;
};

}  // namespace detail

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_RATES_H_
