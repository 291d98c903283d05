// Decides whether this node asks the table for newer configurations by itself,
// or leaves that to others and hears from them.
//
// The load it answers: hundreds of nodes that each watch the table. Every
// change then answers one watch a node, and a table that turns many nodes away
// is asked again by each of them, although one answer serves the whole fleet
// within a few datagrams. So a few members of each availability zone watch; all
// others hear of a change by gossip and take it from a peer.
//
// Nobody agrees on who watches: each node goes by the members that it knows.
// Nodes that know different members merely differ on who is chosen, which costs
// a few watches more for a while.

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
  // Two, so that a zone that is cut off hears on while one of them is gone.
  std::size_t watchers_a_zone = 2;
  // Of the fleet, where it has few zones.
  std::size_t least_watchers = 4;
  // A node that is chosen waits for so long, and anew whenever it knows a good
  // part of the fleet more: after a start, nodes that know few others would
  // else all take themselves for chosen.
  Duration settling_time = std::chrono::seconds(2);
  double notable_growth = 1.25;
  // Without a word of any other node for this long a node asks the table by
  // itself: nobody would tell it of a change. Members are heard each half a
  // second.
  Duration longest_silence = std::chrono::milliseconds(1500);
};

// A member that may watch.
struct WatchCandidate {
  NodeId node;
  AvailabilityZone zone;
};

class WatchDuty {
 public:
  WatchDuty(const WatchDutySettings& settings, NodeId self, TimePoint now);

  // The live members, this node among them.
  void SetMembers(TimePoint now, const std::vector<WatchCandidate>& members);

  // A datagram of another node has come.
  void OnPeerContact(TimePoint now) { m_last_contact = now; }

  bool IsOnDuty(TimePoint now) const;

  // When IsOnDuty may become true without further news.
  TimePoint NextChange(TimePoint now) const;

 private:
  bool IsChosen(const std::vector<WatchCandidate>& members) const;
  bool HasSettled(TimePoint now) const;

  const WatchDutySettings m_settings;
  const NodeId m_self;
  // Of the start, until another node was heard.
  TimePoint m_last_contact;
  // Set while chosen; the members known then.
  std::optional<TimePoint> m_chosen_since;
  std::size_t m_members_then = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_WATCH_DUTY_H_
