// An IP address and port, as used in settings, gossip and logs.

#ifndef BULRUSHMOUNT_CORE_COMMON_ENDPOINT_H_
#define BULRUSHMOUNT_CORE_COMMON_ENDPOINT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushmount {

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): as in strong_type.h.
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// "127.0.0.1:80", or "[::1]:80" for IPv6.
std::string ToString(const Endpoint& endpoint);

// Accepts only a numeric IP address and a port from 1 to 65535; empty
// otherwise.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace bulrushmount

template <>
struct std::hash<bulrushmount::Endpoint> {
  std::size_t operator()(
      const bulrushmount::Endpoint& endpoint) const noexcept {
    return std::hash<std::string>()(endpoint.ip) * 65599 + endpoint.port;
  }
};

#endif  // BULRUSHMOUNT_CORE_COMMON_ENDPOINT_H_
