// Converts between gossip messages on the wire and the types of this module.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_GOSSIP_CODEC_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_GOSSIP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/membership/broadcast_store.h"
#include "core/membership/gossip.pb.h"
#include "core/membership/member.h"

namespace bulrushmount::detail {

inline constexpr std::uint32_t kGossipVersion = 1;

struct StateChange {
  NodeId id;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
};

// Fills one message up to the maximum size of a datagram. `Add` returns false
// and leaves the message unchanged if the item does not fit.
class GossipWriter {
 public:
  explicit GossipWriter(gossip::Gossip message);

  bool Add(const Member& member);
  bool Add(const StateChange& change);
  bool Add(const BroadcastItem& item, Duration remaining);

  gossip::Gossip& message() { return m_message; }
  std::string Take();

 private:
  // Index of `name` in the message's name list, from 1; adds the name if it is
  // new.
  std::uint32_t IndexOf(const std::string& name);
  // Removes the names after the first `count`.
  void DropNames(int count);
  bool Fits(std::size_t bytes) const;

  gossip::Gossip m_message;
  std::size_t m_size;
  std::map<std::string, std::uint32_t> m_names;
};

// Empty if the payload is not a message of this protocol or any field is out of
// range: such a datagram is dropped as a whole.
std::optional<gossip::Gossip> ParseGossip(std::string_view payload);

// These require a message that passed ParseGossip.
Member ToMember(const gossip::Gossip& message, const gossip::Record& record);
StateChange ToStateChange(const gossip::StateChange& change);
BroadcastItem ToBroadcastItem(const gossip::Broadcast& broadcast);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_GOSSIP_CODEC_H_
