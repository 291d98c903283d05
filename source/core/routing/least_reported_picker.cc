// Part of `least_reported_picker.h`.

#include "core/routing/least_reported_picker.h"

namespace bulrushmount {

std::optional<NodeId> LeastReportedPicker::Pick(TimePoint now,
                                                const PickRequest& request,
                                                RandomSource& random) {
  const Target* best = nullptr;
  std::size_t ties = 0;
  for (std::size_t index = 0; index < m_targets.size(); ++index) {
    const Target& target = m_targets.At(index);
    if (Contains(request.excluded, target.candidate.node))
      continue;
    if (best && target.reported > best->reported)
      continue;
    ties = best && target.reported == best->reported ? ties + 1 : 1;
    // Reservoir sampling among equally loaded targets.
    if (random.Index(ties) == 0)
      best = &target;
  }
  if (!best)
    return std::nullopt;
  return best->candidate.node;
}

}  // namespace bulrushmount
