// Part of `rendezvous.h`.

#include "core/limits/rendezvous.h"

#include <algorithm>
#include <array>
#include <unordered_set>

#include <xxhash.h>

namespace bulrushmount {

WorkspaceKey KeyOf(const WorkspaceName& workspace) {
  const std::string& name = workspace.value();
  return WorkspaceKey(XXH3_64bits(name.data(), name.size()));
}

std::uint64_t RendezvousScore(std::uint64_t key, NodeId node) {
  const std::array<std::uint64_t, 2> input = {key, node.value()};
  return XXH3_64bits(input.data(), sizeof(input));
}

const Peer* RendezvousHome(const std::vector<Peer>& members,
                           std::uint64_t key) {
  const Peer* best = nullptr;
  std::uint64_t best_score = 0;
  for (const Peer& member : members) {
    const std::uint64_t score = RendezvousScore(key, member.id);
    if (best == nullptr || score > best_score ||
        (score == best_score && member.id > best->id)) {
      best = &member;
      best_score = score;
    }
  }
  return best;
}

bool HasDeparture(const std::vector<Peer>& before,
                  const std::vector<Peer>& after) {
  std::unordered_set<NodeId> present;
  for (const Peer& member : after)
    present.insert(member.id);
  return std::any_of(before.begin(), before.end(), [&](const Peer& member) {
    return !present.contains(member.id);
  });
}

}  // namespace bulrushmount
