// Part of `hex.h`.

#include "core/common/hex.h"

#include <fmt/format.h>

namespace bulrushmount {

std::string ToHex(std::uint64_t number) {
  return fmt::format("{:016x}", number);
}

std::string ToHex(NodeId id) {
  return ToHex(id.value());
}

}  // namespace bulrushmount
