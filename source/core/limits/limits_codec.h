// The datagrams of the workspace limits: typed messages to bytes and back.

#ifndef BULRUSHMOUNT_CORE_LIMITS_LIMITS_CODEC_H_
#define BULRUSHMOUNT_CORE_LIMITS_LIMITS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ids.h"
#include "core/limits/allotment.h"

namespace bulrushmount {

struct LimitsDatagram {
  NodeId sender;
  std::vector<AllotmentRequest> requests;
  std::vector<Allotment> allotments;
};

// As many datagrams as it takes to stay within kMaxDatagramPayload each.
std::vector<std::string> EncodeLimits(const LimitsDatagram& datagram);

// Empty for what is no such datagram, and for amounts that make no sense: a
// damaged number must not open or close an account.
std::optional<LimitsDatagram> DecodeLimits(std::string_view bytes);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_LIMITS_CODEC_H_
