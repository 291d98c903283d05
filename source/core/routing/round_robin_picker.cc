// Part of `round_robin_picker.h`.

#include "core/routing/round_robin_picker.h"

namespace bulrushmount {

std::optional<NodeId> RoundRobinPicker::Pick(TimePoint now,
                                             const PickRequest& request,
                                             RandomSource& random) {
  for (std::size_t step = 0; step < m_targets.size(); ++step) {
    m_next = (m_next + 1) % m_targets.size();
    const NodeId node = m_targets.At(m_next).candidate.node;
    if (!Contains(request.excluded, node))
      return node;
  }
  return std::nullopt;
}

}  // namespace bulrushmount
