// Part of `daemon_settings.h`.

#include "core/settings/daemon_settings.h"

#include <array>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/address.hpp>

namespace bulrushmount {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

boost::asio::ip::address AddressOf(const Endpoint& endpoint) {
  return boost::asio::ip::make_address(endpoint.ip);
}

// Overwrites the default only if the key is present and valid.
template <typename Value>
void Assign(std::optional<Value> read, Value& setting) {
  if (read.has_value())
    setting = std::move(*read);
}

// Reads an address that is advertised to other nodes. With a wildcard address
// they would connect to themselves, and this node would appear dead to all of
// them.
void ReadAdvertised(const YamlNode* node,
                    Endpoint& setting,
                    YamlFaults& faults) {
  const std::optional<Endpoint> endpoint = ReadEndpoint(node, faults);
  if (!endpoint.has_value())
    return;
  if (AddressOf(*endpoint).is_unspecified())
    faults.Add(node->position, "other nodes cannot reach a wildcard address");
  setting = *endpoint;
}

// Reports two listeners with the same address, as the second could not bind.
void CheckDistinct(const AddressSettings& addresses,
                   YamlPosition position,
                   YamlFaults& faults) {
  const std::array<Endpoint, 4> listeners{addresses.caller, addresses.stream,
                                          addresses.target,
                                          addresses.operators};
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (listeners[i].port != 0 && listeners[i] == listeners[j])
        faults.Add(position, fmt::format("address {} is used twice",
                                         ToString(listeners[i])));
    }
  }
}

void ReadAddresses(const YamlNode* node,
                   bool has_token,
                   AddressSettings& addresses,
                   YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadEndpoint(map.Required("caller"), faults), addresses.caller);
  ReadAdvertised(map.Required("stream"), addresses.stream, faults);
  ReadAdvertised(map.Required("gossip"), addresses.gossip, faults);
  Assign(ReadEndpoint(map.Required("target"), faults), addresses.target);
  const YamlNode* const operators = map.Required("operator");
  const std::optional<Endpoint> endpoint = ReadEndpoint(operators, faults);
  Assign(endpoint, addresses.operators);
  if (endpoint.has_value() && !has_token && !AddressOf(*endpoint).is_loopback())
    faults.Add(operators->position,
               "without operator_token_file it must be a loopback address");
  if (const YamlNode* const forwarder = map.Optional("advertised_stream"))
    ReadAdvertised(forwarder, addresses.advertised_stream.emplace(), faults);
  addresses.metrics = ReadEndpoint(map.Optional("metrics"), faults);
  addresses.readiness = ReadEndpoint(map.Optional("readiness"), faults);
  CheckDistinct(addresses, node->position, faults);
  map.Finish();
}

void ReadPlatform(const YamlNode* node,
                  PlatformSettings& platform,
                  YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadEndpoint(map.Required("table"), faults), platform.table);
  Assign(ReadEndpoint(map.Required("objects"), faults), platform.objects);
  Assign(ReadDuration(map.Optional("timeout"), {milliseconds(10), seconds(30)},
                      faults),
         platform.timeout);
  map.Finish();
}

void ReadTransport(const YamlNode* node,
                   DaemonSettings& settings,
                   YamlFaults& faults) {
  if (node == nullptr)
    return;
  TransportSettings& transport = settings.transport;
  YamlMapReader map(*node, faults);
  Assign(ReadCount(map.Optional("max_head_bytes"), 1'024, 65'536, faults),
         transport.max_head_bytes);
  Assign(
      ReadCount(map.Optional("max_buffered_body_bytes"), 0, 16'777'216, faults),
      transport.max_buffered_body_bytes);
  Assign(ReadCount(map.Optional("max_caller_connections"), 1, 65'536, faults),
         transport.max_caller_connections);
  Assign(ReadCount(map.Optional("max_pipelined_requests"), 1, 256, faults),
         transport.max_pipelined_requests);
  Assign(ReadCount(map.Optional("max_read_ahead"), 0, 65'536, faults),
         transport.max_read_ahead);
  Assign(ReadDuration(map.Optional("min_progress_time"), {seconds(1), hours(1)},
                      faults),
         settings.node.min_progress_time);
  Assign(ReadDuration(map.Optional("max_answer_time"), {seconds(1), hours(24)},
                      faults),
         settings.node.max_answer_time);
  map.Finish();
}

void ReadMembership(const YamlNode* node,
                    NodeSettings& settings,
                    YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadDuration(map.Optional("heartbeat_period"),
                      {milliseconds(10), minutes(1)}, faults),
         settings.heartbeat_period);
  const YamlNode* const suspicion = map.Optional("suspicion_time");
  Assign(ReadDuration(suspicion, {milliseconds(10), minutes(10)}, faults),
         settings.suspicion_time);
  // Otherwise a member would be declared dead before it could refute a
  // suspicion.
  if (settings.suspicion_time < settings.heartbeat_period)
    faults.Add(suspicion != nullptr ? suspicion->position : node->position,
               "suspicion_time is below heartbeat_period");
  Assign(ReadNumber(map.Optional("fleet_config_polls_per_second"),
                    {0.01, 1'000}, faults),
         settings.fleet_config_polls_per_second);
  Assign(ReadDuration(map.Optional("directory_interval"),
                      {seconds(1), hours(1)}, faults),
         settings.directory_interval);
  Assign(ReadBool(map.Optional("first_start"), faults),
         settings.is_first_start);
  map.Finish();
}

void ReadTarget(const YamlNode* node,
                TargetSettings& target,
                YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  target.service =
      ServiceName(ReadName(map.Required("service"), faults).value_or(""));
  map.Finish();
}

void ReadShutdown(const YamlNode* node,
                  NodeSettings& settings,
                  YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadDuration(map.Optional("leave_time"), {Duration(0), minutes(10)},
                      faults),
         settings.leave_time);
  Assign(ReadDuration(map.Optional("longest_leave"), {seconds(1), hours(24)},
                      faults),
         settings.longest_leave);
  map.Finish();
}

void ReadRouting(const YamlNode* node,
                 NodeSettings& settings,
                 YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadNumber(map.Optional("retry_budget_fraction"), {0, 1}, faults),
         settings.retry_budget_fraction);
  Assign(ReadDuration(map.Optional("retry_window"),
                      {milliseconds(100), hours(1)}, faults),
         settings.retry_window);
  Assign(ReadNumber(map.Optional("retry_slack"), {0, 1'000'000}, faults),
         settings.retry_slack);
  Assign(ReadCount(map.Optional("max_attempts"), 1, 16, faults),
         settings.max_attempts);
  Assign(ReadDuration(map.Optional("zone_round_trip"),
                      {Duration(0), seconds(1)}, faults),
         settings.zone_round_trip);
  Assign(ReadDuration(map.Optional("zone_kilobyte"), {Duration(0), seconds(1)},
                      faults),
         settings.zone_kilobyte);
  Assign(ReadNumber(map.Optional("zone_spare_time_part"), {0, 1}, faults),
         settings.zone_spare_time_part);
  Assign(ReadDuration(map.Optional("region_round_trip"),
                      {Duration(0), seconds(10)}, faults),
         settings.region_round_trip);
  Assign(ReadDuration(map.Optional("warmup"), {Duration(0), hours(1)}, faults),
         settings.warmup);
  Assign(ReadDuration(map.Optional("quarantine_time"), {seconds(1), hours(24)},
                      faults),
         settings.quarantine_time);
  Assign(ReadDuration(map.Optional("measuring_term"), {seconds(1), hours(1)},
                      faults),
         settings.measuring_term);
  map.Finish();
}

void ReadPolicies(const YamlNode* node,
                  PolicySwitches& policies,
                  YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  const auto read = [&map, &faults](const char* name, bool& is_on) {
    Assign(ReadBool(map.Optional(name), faults), is_on);
  };
  read("knee_limit", policies.knee_limit);
  read("hold_disturbed", policies.hold_disturbed);
  read("selective_starts", policies.selective_starts);
  read("best_reported_starts", policies.best_reported_starts);
  read("retry_detector", policies.retry_detector);
  read("likely_times", policies.likely_times);
  read("ranks", policies.ranks);
  read("leave_silent", policies.leave_silent);
  read("retry_after", policies.retry_after);
  read("throttle", policies.throttle);
  read("ask_budget", policies.ask_budget);
  map.Renamed("choosy_starts", "selective_starts");
  map.Renamed("best_told_starts", "best_reported_starts");
  map.Renamed("caller_patience", "retry_detector");
  map.Renamed("return_advice", "retry_after");
  map.Finish();
}

// An empty list means any zone, as if the key were missing.
std::vector<AvailabilityZone> ReadZones(const YamlNode* node,
                                        YamlFaults& faults) {
  std::vector<AvailabilityZone> zones;
  const bool is_empty =
      node && node->type == YamlNodeType::kSequence && node->items.empty();
  if (is_empty)
    return zones;
  for (const YamlNode& zone : ReadSequence(node, faults))
    zones.emplace_back(ReadName(&zone, faults).value_or(""));
  return zones;
}

void ReadColdStart(const YamlNode* node,
                   ColdStartSettings& cold_start,
                   YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadNumber(map.Optional("overage"), {1, 100}, faults),
         cold_start.overage);
  Assign(ReadNumber(map.Optional("slack"), {0, 1e6}, faults), cold_start.slack);
  map.Finish();
}

void ReadWorkspaceKeys(const YamlNode* node,
                       NodeSettings& settings,
                       YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  settings.max_unconfirmed_document = ReadDuration(
      map.Optional("max_unconfirmed"), {seconds(1), hours(24)}, faults);
  map.Finish();
}

void ReadWorkspaceLimits(const YamlNode* node,
                         WorkspaceLimitsSettings& limits,
                         YamlFaults& faults) {
  if (node == nullptr)
    return;
  YamlMapReader map(*node, faults);
  Assign(ReadDuration(map.Required("window"), {seconds(1), minutes(1)}, faults),
         limits.window);
  Assign(ReadNumber(map.Optional("overage"), {0, 100}, faults), limits.overage);
  Assign(ReadNumber(map.Optional("slack"), {0, 1e6}, faults), limits.slack);
  map.Finish();
}

std::optional<LogLevel> ReadLogLevel(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  if (*text == "debug")
    return LogLevel::kDebug;
  if (*text == "info")
    return LogLevel::kInfo;
  if (*text == "warning")
    return LogLevel::kWarning;
  if (*text == "error")
    return LogLevel::kError;
  faults.Add(node->position, "expected debug, info, warning or error");
  return std::nullopt;
}

DaemonSettings ReadSettings(const YamlNode& root, YamlFaults& faults) {
  DaemonSettings settings;
  YamlMapReader map(root, faults);
  const YamlNode* const token_file = map.Optional("operator_token_file");
  settings.operator_token_file = ReadText(token_file, faults);
  ReadAddresses(map.Required("addresses"), token_file != nullptr,
                settings.addresses, faults);
  ReadPlatform(map.Required("platform"), settings.platform, faults);
  ReadTransport(map.Optional("transport"), settings, faults);
  ReadMembership(map.Optional("membership"), settings.node, faults);
  ReadRouting(map.Optional("routing"), settings.node, faults);
  ReadPolicies(map.Optional("policies"), settings.node.policies, faults);
  ReadShutdown(map.Optional("shutdown"), settings.node, faults);
  ReadTarget(map.Optional("target"), settings.target, faults);
  Assign(ReadLogLevel(map.Optional("log_level"), faults), settings.log_level);
  settings.node.zone = AvailabilityZone(
      ReadName(map.Required("availability_zone"), faults).value_or(""));
  settings.node.known_zones =
      ReadZones(map.Optional("known_availability_zones"), faults);
  ReadColdStart(map.Optional("cold_start"), settings.node.cold_start, faults);
  ReadWorkspaceKeys(map.Optional("workspace_keys"), settings.node, faults);
  ReadWorkspaceLimits(map.Optional("workspace_limits"),
                      settings.node.workspace_limits, faults);
  settings.node.region =
      Region(ReadName(map.Required("region"), faults).value_or(""));
  settings.node.stream_endpoint =
      settings.addresses.advertised_stream.value_or(settings.addresses.stream);
  settings.node.gossip_endpoint = settings.addresses.gossip;
  map.Finish();
  return settings;
}

}  // namespace

DaemonSettingsOrFaults TryParseDaemonSettings(std::string_view yaml) {
  DaemonSettingsOrFaults result;
  const std::optional<YamlNode> root = ParseYaml(yaml, result.faults);
  if (root.has_value())
    result.settings = ReadSettings(*root, result.faults);
  if (!result.faults.empty())
    result.settings.reset();
  result.faults.Sort();
  return result;
}

boost::leaf::result<DaemonSettings> ParseDaemonSettings(std::string_view yaml) {
  DaemonSettingsOrFaults result = TryParseDaemonSettings(yaml);
  if (!result.settings.has_value())
    return boost::leaf::new_error(std::move(result.faults));
  return std::move(*result.settings);
}

}  // namespace bulrushmount
