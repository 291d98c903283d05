// Formats ids and digests for logs, status pages and row keys.

#ifndef BULRUSHMOUNT_CORE_COMMON_HEX_H_
#define BULRUSHMOUNT_CORE_COMMON_HEX_H_

#include <cstdint>
#include <string>

#include "core/common/ids.h"

namespace bulrushmount {

// Sixteen lower-case hexadecimal digits, so that the texts sort like the
// numbers.
std::string ToHex(std::uint64_t number);
std::string ToHex(NodeId id);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_HEX_H_
