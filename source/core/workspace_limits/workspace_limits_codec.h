// Encodes and decodes the datagrams of the limits of workspaces over the fleet.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_CODEC_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ids.h"
#include "core/workspace_limits/unit_messages.h"

namespace bulrushmount {

struct WorkspaceLimitsDatagram {
  // 0 in a datagram with responses only.
  NodeId sender;
  // 0 unless another member forwards the datagram.
  NodeId destination;
  std::vector<UnitRequest> requests;
  std::vector<UnitResponse> responses;
  std::vector<TakeoverRequest> takeovers;
  std::vector<TakeoverResponse> takeover_responses;
};

// Splits the messages into as many datagrams as needed to keep each within
// kMaxDatagramPayload.
std::vector<std::string> EncodeWorkspaceLimits(
    const WorkspaceLimitsDatagram& datagram);

// Returns nothing if `bytes` are not a valid datagram, or if a level or scale
// is negative, infinite or not a number: a corrupted number must not add units.
std::optional<WorkspaceLimitsDatagram> DecodeWorkspaceLimits(
    std::string_view bytes);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_CODEC_H_
