// Rendezvous hashing: maps a key to the member that is its home, the node
// responsible for the key. Nodes with the same member list compute the same
// home without exchanging messages. When a member leaves, only the keys that it
// was the home of move to other members.

#ifndef BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_
#define BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/ids.h"

namespace bulrushmount {

// A live member, reduced to what the limits and the quarantine use.
struct Peer {
  NodeId id;
  // Destination of datagrams to this member.
  Endpoint gossip;

  friend bool operator==(const Peer&, const Peer&) = default;
};

// xxHash (XXH3, 64 bits) of the workspace name; identifies the workspace in
// datagrams.
using WorkspaceKey = StrongType<struct WorkspaceKeyTag, std::uint64_t>;

WorkspaceKey KeyOf(const WorkspaceName& workspace);

// The member with the highest score of a key is its home.
std::uint64_t RendezvousScore(std::uint64_t key, NodeId node);

// Returns the home of `key`, or null if `members` is empty. Takes time linear
// in `members`, so callers cache the result until the members change.
const Peer* RendezvousHome(const std::vector<Peer>& members, std::uint64_t key);

// Returns whether a node of `before` is missing from `after`. Only then can a
// key move to a node that is a member in both.
bool HasDeparture(const std::vector<Peer>& before,
                  const std::vector<Peer>& after);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_RENDEZVOUS_H_
