// Encodes and decodes the datagrams of the workspace limits.

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

// Splits the messages into as many datagrams as needed to keep each within
// kMaxDatagramPayload.
std::vector<std::string> EncodeLimits(const LimitsDatagram& datagram);

// Returns nothing if `bytes` are not a valid datagram or if an amount is
// negative, infinite or not a number: a corrupted number must not add units to
// an account or use them up.
std::optional<LimitsDatagram> DecodeLimits(std::string_view bytes);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_LIMITS_CODEC_H_
