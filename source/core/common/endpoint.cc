// Part of `endpoint.h`.

#include "core/common/endpoint.h"

#include <charconv>

#include <fmt/format.h>
#include <boost/asio/ip/address.hpp>

namespace bulrushmount {

std::string ToString(const Endpoint& endpoint) {
  if (endpoint.ip.find(':') != std::string::npos)
    return fmt::format("[{}]:{}", endpoint.ip, endpoint.port);
  return fmt::format("{}:{}", endpoint.ip, endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  else if (ip.find(':') != std::string_view::npos)
    return std::nullopt;

  std::uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
    return std::nullopt;

  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(ip), error);
  if (error)
    return std::nullopt;
  return Endpoint{std::string(ip), port};
}

}  // namespace bulrushmount
