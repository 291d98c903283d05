// The record of a member as every node stores it and gossip carries it.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/common/endpoint.h"
#include "core/common/ids.h"

namespace bulrushmount {

// The order of the enumerators decides between two reports about the same
// incarnation: the later state wins. A report with a higher incarnation always
// wins.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeft, kDead };

// The state's name in logs and status pages.
constexpr std::string_view ToToken(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeft:
      return "left";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

// State of the target next to a member, as that member reports it. It changes
// with the target's life cycle and not with its load: load travels in responses
// and refusals.
struct TargetSummary {
  ServiceName service;
  // Increases with each restart of the target.
  Incarnation incarnation;
  // Number of requests that the target runs concurrently under normal
  // conditions.
  std::uint32_t slots = 0;
  // Whether the target accepts new requests. False while it drains or has
  // failed.
  bool is_serving = false;
  // Whether the target is still in its cold start.
  bool is_warming = false;
  // Unlike `incarnation`, the same after a restart of the owner.
  TargetProcess process{};

  friend bool operator==(const TargetSummary&, const TargetSummary&) = default;
};

struct Member {
  NodeId id;
  Endpoint stream_endpoint;
  Endpoint gossip_endpoint;
  AvailabilityZone zone;
  Region region;
  // Increased by the member itself only, when its record changes or when it
  // refutes a suspicion.
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // Revision of the configuration that is in force at the member.
  Revision revision;
  std::optional<TargetSummary> target;

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_H_
