// Rendezvous hashing: which member is the home of a key. All nodes with the
// same members agree without a message, and a member that leaves moves only
// the keys that it was home of.

#ifndef BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_
#define BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/ids.h"

namespace bulrushmount {

// A live member, as the limits and the quarantine need to know it.
struct Peer {
  NodeId id;
  // Where its datagrams go.
  Endpoint gossip;

  friend bool operator==(const Peer&, const Peer&) = default;
};

// xxHash of the workspace's name; stands for it in datagrams.
using WorkspaceKey = StrongType<struct WorkspaceKeyTag, std::uint64_t>;

WorkspaceKey KeyOf(const WorkspaceName& workspace);

// The home of `key`; null only if there are no members. Linear in `members`,
// so callers keep the answer until the members change.
const Peer* RendezvousHome(const std::vector<Peer>& members, std::uint64_t key);

// Whether a node of `before` is missing in `after`. Only then can a key move
// to a node that was a member already.
bool HasDeparture(const std::vector<Peer>& before,
                  const std::vector<Peer>& after);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_
