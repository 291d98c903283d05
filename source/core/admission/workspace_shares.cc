// Implements `workspace_shares.h`.

#include "core/admission/workspace_shares.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrushmount {

namespace {

// Number of workspaces from which those without recent demand are removed.
constexpr std::size_t kPruneAt = 256;
// Demand, in seconds of slot time, below which a workspace counts as idle.
constexpr double kIdleDemand = 1e-4;

// A workspace is underserved below this part of the mean. The bound that must
// hold over the whole fleet is a quarter.
constexpr double kLeastServedPart = 0.5;

// A workspace with this part of the demand has nobody to leave capacity to.
constexpr double kAlonePart = 0.95;

// What was started recently lags behind demand that is growing, also if all of
// it fits.
constexpr double kCapacityMargin = 1.1;

}  // namespace

void WorkspaceShares::OnArrived(TimePoint now,
                                const WorkspaceName& workspace,
                                double share,
                                Duration cost) {
  Prune(now);
  Usage& usage = m_usages[workspace];
  usage.share = share;
  usage.demand.Add(now, ToSeconds(cost));
  m_total.demand.Add(now, ToSeconds(cost));
}

void WorkspaceShares::OnStarted(TimePoint now,
                                const WorkspaceName& workspace,
                                Duration cost) {
  m_usages[workspace].started.Add(now, ToSeconds(cost));
  m_total.started.Add(now, ToSeconds(cost));
}

bool WorkspaceShares::IsWithinShare(TimePoint now,
                                    const WorkspaceName& workspace,
                                    Duration waiting) const {
  const auto found = m_usages.find(workspace);
  if (found == m_usages.end())
    return true;
  const Usage& usage = found->second;
  if (usage.demand.At(now) >= kAlonePart * m_total.demand.At(now))
    return true;
  return usage.started.At(now) + ToSeconds(waiting) <=
         FairLevel(now) * usage.share;
}

bool WorkspaceShares::IsUnderserved(TimePoint now,
                                    const WorkspaceName& workspace,
                                    Duration cost) const {
  const auto found = m_usages.find(workspace);
  if (found == m_usages.end())
    return false;
  const Usage& usage = found->second;
  return (usage.started.At(now) + ToSeconds(cost)) * m_total.demand.At(now) <
         kLeastServedPart * m_total.started.At(now) * usage.demand.At(now);
}

double WorkspaceShares::FairLevel(TimePoint now) const {
  double left = kCapacityMargin * m_total.started.At(now);
  if (m_total.demand.At(now) <= left)
    return std::numeric_limits<double>::infinity();
  // Demand per share, and share.
  std::vector<std::pair<double, double>> demands;
  double shares = 0;
  for (const auto& [workspace, usage] : m_usages) {
    demands.emplace_back(usage.demand.At(now) / usage.share, usage.share);
    shares += usage.share;
  }
  std::sort(demands.begin(), demands.end());
  for (const auto& [demand, share] : demands) {
    if (demand * shares >= left)
      return left / shares;
    left -= demand * share;
    shares -= share;
  }
  return std::numeric_limits<double>::infinity();
}

void WorkspaceShares::Prune(TimePoint now) {
  if (m_usages.size() < kPruneAt)
    return;
  std::erase_if(m_usages, [now](const auto& entry) {
    return entry.second.demand.At(now) < kIdleDemand;
  });
}

}  // namespace bulrushmount
