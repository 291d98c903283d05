// Decides whether this node watches the table for newer configurations itself,
// or relies on other nodes to notify it.
//
// The design limits the load of hundreds of nodes that each watch the table.
// Every change would then be answered once per node, and a table that rejects
// many nodes would be asked again by each of them, although one response
// reaches the whole fleet within a few datagrams. So a few members of each
// availability zone watch; all others learn of a change by gossip and fetch it
// from a peer.
//
// The selection needs no agreement: each node decides from the members that it
// knows. Nodes that know different members may select different watchers, which
// only costs a few additional watches for a while.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_WATCH_DUTY_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_WATCH_DUTY_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

struct WatchDutySettings {
  // Two, so that a zone that is cut off still has a watcher when one fails.
  std::size_t watchers_per_zone = 2;
  // Minimum for the whole fleet, for fleets with few zones.
  std::size_t min_watchers = 4;
  // A selected node waits this long before it watches, and starts the wait
  // again whenever the number of members it knows has grown by
  // membership_growth_factor: after a start, nodes that know few others would
  // otherwise all select themselves.
  Duration settling_time = std::chrono::seconds(2);
  double membership_growth_factor = 1.25;
  // A node that has received nothing from any other node for this long watches
  // the table itself, as no other node could notify it of a change. Normally a
  // datagram arrives every half second.
  Duration max_peer_silence = std::chrono::milliseconds(1500);
};

// A member that can be selected as watcher.
struct WatchCandidate {
  NodeId node;
  AvailabilityZone zone;
};

class WatchDuty {
 public:
  WatchDuty(const WatchDutySettings& settings, NodeId self, TimePoint now);

  // The live members, including this node.
  void SetMembers(TimePoint now, const std::vector<WatchCandidate>& members);

  // A datagram from another node has arrived.
  void OnPeerContact(TimePoint now) { m_last_contact = now; }

  bool IsOnDuty(TimePoint now) const;

  // When IsOnDuty may become true without a further event.
  TimePoint NextChange(TimePoint now) const;

 private:
  bool IsSelected(const std::vector<WatchCandidate>& members) const;
  bool HasSettled(TimePoint now) const;

  const WatchDutySettings m_settings;
  const NodeId m_self;
  // Initially the time of the start.
  TimePoint m_last_contact;
  // Set while selected, together with the number of members known then.
  std::optional<TimePoint> m_selected_since;
  std::size_t m_members_when_selected = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_WATCH_DUTY_H_
