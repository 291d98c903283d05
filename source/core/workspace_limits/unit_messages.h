// The messages between an entry and the home of a workspace.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_MESSAGES_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_MESSAGES_H_

#include <cstdint>

#include "core/common/ids.h"
#include "core/common/strong_type.h"
#include "core/common/time.h"
#include "core/limits/rendezvous.h"

namespace bulrushmount {

// Numbers the requests of one process, over all its workspaces, from 1.
using UnitRequestNumber =
    StrongType<struct UnitRequestNumberTag, std::uint64_t>;

// An entry asks for units. A repeated request has the same number and content,
// and is counted once.
struct UnitRequest {
  WorkspaceKey workspace;
  UnitRequestNumber number;
  // Units for calls that wait.
  std::uint32_t wanted = 0;
  // Units that the entry expects to need within kUnitLifetime.
  std::uint32_t ahead = 0;
  // Units already used without a grant; they cannot be refused.
  std::uint32_t owed = 0;
  // Units that were granted and not used, and an upper bound of the time since
  // their grants.
  std::uint32_t returned = 0;
  Duration returned_age{};
  // Sent to the deputy because the home does not answer.
  bool is_for_reserve = false;

  friend bool operator==(const UnitRequest&, const UnitRequest&) = default;
};

struct UnitResponse {
  WorkspaceKey workspace;
  UnitRequestNumber number;
  std::uint32_t granted = 0;
  // Only if less was granted than wanted: the time until the next unit is free,
  // and the time until all refused requests could be served.
  Duration next_unit{};
  Duration retry_after{};
  // Answered from the deputy's reserve.
  bool is_from_reserve = false;

  friend bool operator==(const UnitResponse&, const UnitResponse&) = default;
};

// A node that has started or was paused asks the member that would be the home
// without it for the level of the workspace's bucket.
struct TakeoverRequest {
  WorkspaceKey workspace;
  UnitRequestNumber number;

  friend bool operator==(const TakeoverRequest&,
                         const TakeoverRequest&) = default;
};

struct TakeoverResponse {
  WorkspaceKey workspace;
  UnitRequestNumber number;
  // False: the responder is the home itself, or considers another member to be.
  bool is_handed_over = false;
  double level = 0;
  // The responder's share of the limit, and the number of members it knows.
  double scale = 0;
  std::uint32_t known_members = 0;

  friend bool operator==(const TakeoverResponse&,
                         const TakeoverResponse&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_MESSAGES_H_
