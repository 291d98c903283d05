// Part of `target_server.h`.

#include "core/transport/targets/target_server.h"

#include <cstdint>
#include <limits>
#include <utility>

#include <fmt/format.h>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace bulrushmount {

namespace {

namespace json = boost::json;

constexpr std::string_view kPath = "/target";
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

// Reads a whole number in [least, most]; otherwise adds a line to `fault`.
std::uint64_t ReadNumber(const json::object& object,
                         std::string_view key,
                         std::uint64_t least,
                         std::uint64_t most,
                         std::string& fault) {
  const json::value* const value = object.if_contains(key);
  boost::system::error_code error;
  const auto number =
      value ? value->to_number<std::uint64_t>(error) : std::uint64_t{0};
  if (!value || error || number < least || number > most) {
    fault += fmt::format("{}: a whole number from {} to {} is needed\n", key,
                         least, most);
  }
  return number;
}

ControlReply Plain(int status, std::string body) {
  ControlReply reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

}  // namespace

std::optional<TargetAnnounced> ParseAnnouncement(const std::string& text,
                                                 const std::string& peer_ip,
                                                 std::string& fault) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) {
    fault = "a JSON object is needed\n";
    return std::nullopt;
  }
  const json::object& object = parsed.get_object();
  TargetAnnounced announced;
  const json::value* const service = object.if_contains("service");
  if (service && service->is_string() && !service->get_string().empty()) {
    announced.service = ServiceName(std::string(service->get_string()));
  } else {
    fault += "service: a name is needed\n";
  }
  announced.endpoint = {peer_ip, static_cast<std::uint16_t>(ReadNumber(
                                     object, "port", 1, kMaxPort, fault))};
  announced.slots = static_cast<std::uint32_t>(
      ReadNumber(object, "slots", 1, kMaxCount, fault));
  announced.connections = static_cast<std::uint32_t>(
      ReadNumber(object, "connections", 1, kMaxCount, fault));
  announced.incarnation =
      Incarnation(ReadNumber(object, "incarnation", 0, kMaxNumber, fault));
  if (!fault.empty()) {
    return std::nullopt;
  }
  return announced;
}

void TargetServer::OnRequest(const ControlRequest& request, Respond respond) {
  if (request.target != kPath) {
    respond(Plain(404, "no such page\n"));
    return;
  }
  if (request.method == "DELETE") {
    m_events.Emit(TargetWithdrawn{});
    respond(Plain(204, {}));
    return;
  }
  if (request.method != "PUT") {
    ControlReply reply = Plain(405, "only PUT and DELETE\n");
    reply.allow = "PUT, DELETE";
    respond(std::move(reply));
    return;
  }
  std::string fault;
  auto announced = ParseAnnouncement(request.body, request.peer_ip, fault);
  if (!announced) {
    respond(Plain(400, fault));
    return;
  }
  m_events.Emit(std::move(*announced));
  respond(Plain(204, {}));
}

}  // namespace bulrushmount
