// Candidates of one service, grouped by zone distance, with a picker's data on
// each. Draws do not allocate, and are fast at 1,100 members.

#ifndef BULRUSHMOUNT_CORE_ROUTING_CANDIDATE_LIST_H_
#define BULRUSHMOUNT_CORE_ROUTING_CANDIDATE_LIST_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

inline bool Contains(std::span<const NodeId> nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

// `Target` is a struct with a field `candidate`. Pointers to targets are valid
// until the next `Update` or `Remove`.
template <typename Target>
class CandidateList {
 public:
  // Returns the target, which is added if its node is not listed.
  Target& Update(const Candidate& candidate) {
    Target target{};
    if (const Target* known = Find(candidate.node)) {
      target = *known;
      Remove(candidate.node);
    }
    target.candidate = candidate;
    auto& group = GroupOf(candidate.distance);
    m_positions[candidate.node] = {candidate.distance, group.size()};
    return group.emplace_back(std::move(target));
  }

  void Remove(NodeId node) {
    const auto found = m_positions.find(node);
    if (found == m_positions.end())
      return;
    const Position position = found->second;
    m_positions.erase(found);
    auto& group = GroupOf(position.distance);
    if (position.index + 1 != group.size()) {
      group[position.index] = std::move(group.back());
      m_positions[group[position.index].candidate.node].index = position.index;
    }
    group.pop_back();
  }

  // Null if the node is not listed.
  Target* Find(NodeId node) {
    const auto found = m_positions.find(node);
    if (found == m_positions.end())
      return nullptr;
    return &GroupOf(found->second.distance)[found->second.index];
  }

  std::size_t size() const { return m_positions.size(); }

  // Returns the target at `index` in an unspecified order, nearest group first.
  Target& At(std::size_t index) {
    for (auto& group : m_groups) {
      if (index < group.size())
        return group[index];
      index -= group.size();
    }
    return m_groups.back().back();
  }

  // Calls `visit(target)` for up to `count` distinct random targets at
  // `distance` that are not excluded.
  template <typename Visit>
  void Draw(ZoneDistance distance,
            std::size_t count,
            std::span<const NodeId> excluded,
            RandomSource& random,
            Visit visit) {
    auto& group = GroupOf(distance);
    if (group.size() <= count + excluded.size()) {
      VisitFromRandomOffset(group, count, excluded, random, visit);
      return;
    }
    std::array<std::size_t, kMaxDraw> drawn{};
    std::size_t taken = 0;
    count = std::min(count, kMaxDraw);
    // Terminates, since there are more candidates than can be drawn or
    // excluded.
    while (taken < count) {
      const std::size_t index = random.Index(group.size());
      const auto* end = drawn.begin() + taken;
      if (std::find(drawn.cbegin(), end, index) != end ||
          Contains(excluded, group[index].candidate.node)) {
        continue;
      }
      drawn[taken++] = index;
      visit(group[index]);
    }
  }

  static constexpr std::size_t kMaxDraw = 8;

 private:
  struct Position {
    ZoneDistance distance = ZoneDistance::kSameZone;
    std::size_t index = 0;
  };

  using Group = std::vector<Target>;

  Group& GroupOf(ZoneDistance distance) {
    return m_groups[static_cast<std::size_t>(distance)];
  }

  // For groups that are hardly larger than the draw: iterates over the group
  // from a random offset.
  template <typename Visit>
  static void VisitFromRandomOffset(Group& group,
                                    std::size_t count,
                                    std::span<const NodeId> excluded,
                                    RandomSource& random,
                                    Visit visit) {
    if (group.empty())
      return;
    const std::size_t first = random.Index(group.size());
    for (std::size_t step = 0; step < group.size() && count > 0; ++step) {
      Target& target = group[(first + step) % group.size()];
      if (Contains(excluded, target.candidate.node))
        continue;
      --count;
      visit(target);
    }
  }

  std::array<Group, kZoneDistances> m_groups;
  // Position of each target in m_groups.
  std::unordered_map<NodeId, Position> m_positions;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_CANDIDATE_LIST_H_
