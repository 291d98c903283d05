// What one node knows about the fleet for the limits of workspaces: which
// member is the home of a workspace, since when this node is it, and which
// share of a limit the members that this node reaches may admit.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_VIEW_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/limits/rendezvous.h"

namespace bulrushmount {

// A live member; a suspect one may be dead.
struct FleetMember {
  Peer peer;
  bool is_suspect = false;
};

namespace detail {

// The home of a workspace and its deputy, the member that would be the home
// without it. The deputy is null in a fleet of one.
struct HomeAndDeputy {
  const Peer* home = nullptr;
  const Peer* deputy = nullptr;
};

class FleetView {
 public:
  FleetView(const Peer& self, TimePoint now);

  // All live members, and those that were declared dead (not those that left).
  // This node is added if it is missing.
  void SetMembers(TimePoint now,
                  const std::vector<FleetMember>& live,
                  const std::vector<Peer>& dead);

  // Other members are known to exist, although none may be known yet.
  void ExpectPeers() { m_is_expecting_peers = true; }
  // This node has started and knows no other member yet, although there are
  // some.
  bool IsAwaitingPeers(TimePoint now) const;

  // A datagram of another member arrived.
  void OnPeerContact(TimePoint now);

  // Called at each event. Returns true if this node may have lost its homes to
  // other members without noticing: the process was paused, or the node was
  // isolated until this event.
  bool CheckAuthority(TimePoint now);

  const Peer& self() const { return m_self; }
  std::size_t size() const { return m_members.size(); }
  // Null if it is not a live member.
  const Peer* Find(NodeId id) const;
  // Valid until the members change.
  HomeAndDeputy Find(WorkspaceKey workspace) const;
  // A random live member other than this node and `excluded`; null if none.
  const Peer* FindRelay(RandomSource& random, NodeId excluded) const;

  // Since when no other member than the present ones was preferred to this node
  // for the workspace, and this node has not been paused or isolated.
  TimePoint RankSince(WorkspaceKey workspace) const;

  // When this process started, or last lost its authority.
  TimePoint authority_since() const { return m_authority_since; }

  // Live members and those declared dead whose address no live member has.
  std::size_t KnownMembers(TimePoint now);

  // The share of each limit that the reachable members may admit: reachable
  // ones / known ones. It falls at once, and rises after a delay, in which the
  // other sides of a healed partition learn that their share has fallen.
  double Scale(TimePoint now);

  // A member that hands over a home also hands over its share, and reports how
  // many members it knows.
  void AdoptScale(TimePoint now, double scale, std::size_t known_members);

  bool IsIsolated(TimePoint now) const;

 private:
  struct Departed {
    Peer peer;
    TimePoint since;
    bool is_dead = false;
  };

  // One member per address: the others are earlier processes of the same
  // machine, which have not been declared dead yet. A suspect one is, and
  // otherwise those that this node learned of before.
  std::vector<FleetMember> SelectProcesses(
      const std::vector<FleetMember>& live) const;
  void AddDeparted(TimePoint now, const Peer& peer, bool is_dead);
  double TargetScale(TimePoint now);

  Peer m_self;
  // Includes this node. One member per address.
  std::vector<Peer> m_members;
  // The order in which this node learned of the live members.
  std::unordered_map<NodeId, std::uint64_t> m_seen;
  std::uint64_t m_next_seen = 1;
  std::size_t m_suspects = 0;
  std::vector<Departed> m_departed;
  TimePoint m_started_at;
  bool m_is_expecting_peers = false;
  TimePoint m_authority_since;
  TimePoint m_last_event;
  TimePoint m_last_contact;
  bool m_was_isolated = false;
  double m_scale = 1;
  // Since when the scale could be higher.
  std::optional<TimePoint> m_could_rise_since;
  // Number of known members that another member reported, and until when it
  // counts.
  std::size_t m_reported_members = 0;
  TimePoint m_reported_until;
};

}  // namespace detail

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_VIEW_H_
