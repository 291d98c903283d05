// The typed settings of `bulrushmountd`, with all defaults in one place.

#ifndef BULRUSHMOUNT_CORE_SETTINGS_DAEMON_SETTINGS_H_
#define BULRUSHMOUNT_CORE_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "core/common/endpoint.h"
#include "core/common/logging.h"
#include "core/common/time.h"
#include "core/node_logic/node_settings.h"
#include "core/settings/yaml_reader.h"

namespace bulrushmount {

// The addresses that the node listens on.
struct AddressSettings {
  // For callers: external ones and the target next to the node.
  Endpoint caller;
  // For other nodes' streams (TCP) and datagrams (UDP). Advertised to other
  // nodes, so never a wildcard.
  Endpoint stream;
  Endpoint gossip;
  // The address at which other nodes reach `stream` if there is a forwarder in
  // front of it; `stream` itself if empty.
  std::optional<Endpoint> advertised_stream;
  // For announcements of the target next to the node.
  Endpoint target;
  // For operators: contracts, status, metrics.
  Endpoint operators;
  // Metrics without authentication; if empty, metrics are only served at the
  // operators' address.
  std::optional<Endpoint> metrics;
  // Readiness checks of the platform; if empty, they are only served at the
  // operators' address.
  std::optional<Endpoint> readiness;

  friend bool operator==(const AddressSettings&,
                         const AddressSettings&) = default;
};

struct PlatformSettings {
  Endpoint table;
  Endpoint objects;
  // After this time a request without a reply has an unknown result.
  Duration timeout = std::chrono::seconds(1);

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

// Limits on connections and on the memory that each may use.
struct TransportSettings {
  // Larger request heads are refused. Must not exceed what a node stream can
  // carry.
  std::uint32_t max_head_bytes = 16'384;
  // Maximum part of a request body that the node keeps in order to send it
  // again. The first 16 KB are always kept, since the fingerprint covers them.
  std::uint32_t max_buffered_body_bytes = 65'536;
  std::uint32_t max_caller_connections = 4'096;
  // See CallerLimits.
  std::uint32_t max_pipelined_requests = 16;
  std::uint32_t max_read_ahead = 512;

  friend bool operator==(const TransportSettings&,
                         const TransportSettings&) = default;
};

// What is known of the target next to the node before its first announcement.
struct TargetSettings {
  ServiceName service;

  friend bool operator==(const TargetSettings&,
                         const TargetSettings&) = default;
};

struct DaemonSettings {
  AddressSettings addresses;
  TargetSettings target;
  PlatformSettings platform;
  TransportSettings transport;
  // File with the bearer token of the operator address. Without a token that
  // address must be a loopback address.
  std::optional<std::string> operator_token_file;
  LogLevel log_level = LogLevel::kInfo;
  // All node settings except the id, which the daemon draws when it starts.
  NodeSettings node;
};

struct DaemonSettingsOrFaults {
  std::optional<DaemonSettings> settings;
  // Empty if and only if there are settings.
  YamlFaults faults;
};
DaemonSettingsOrFaults TryParseDaemonSettings(std::string_view yaml);

// On failure the error is a YamlFaults with every fault of the text.
boost::leaf::result<DaemonSettings> ParseDaemonSettings(std::string_view yaml);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_SETTINGS_DAEMON_SETTINGS_H_
