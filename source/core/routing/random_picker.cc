// Part of `random_picker.h`.

#include "core/routing/random_picker.h"

namespace bulrushmount {

std::optional<NodeId> RandomPicker::Pick(TimePoint now,
                                         const PickRequest& request,
                                         RandomSource& random) {
  std::optional<NodeId> picked;
  std::size_t eligible = 0;
  // Reservoir sampling: the n-th eligible candidate replaces the current one
  // with probability 1/n.
  for (std::size_t index = 0; index < m_targets.size(); ++index) {
    const NodeId node = m_targets.At(index).candidate.node;
    if (Contains(request.excluded, node))
      continue;
    if (random.Index(++eligible) == 0)
      picked = node;
  }
  return picked;
}

}  // namespace bulrushmount
