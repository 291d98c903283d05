// The settings file of `bulrushmountd`, typed, with every default in one place.

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

// Where the node listens.
struct AddressSettings {
  // Callers, outside ones and the target beside the node.
  Endpoint caller;
  // Other nodes' streams (TCP) and datagrams (UDP). Told to other nodes, so
  // never a wildcard.
  Endpoint stream;
  Endpoint gossip;
  // Where other nodes reach `stream`, if a forwarder stands before it; empty:
  // at `stream` itself.
  std::optional<Endpoint> advertised_stream;
  // Announcements of the target beside the node.
  Endpoint target;
  // Operators: contracts, status, metrics.
  Endpoint operators;
  // Metrics, for anybody who reaches it; empty: only on the operators' one.
  std::optional<Endpoint> metrics;
  // Whether the node is ready, for a platform that asks; empty: only on the
  // operators' one.
  std::optional<Endpoint> readiness;

  friend bool operator==(const AddressSettings&,
                         const AddressSettings&) = default;
};

struct PlatformSettings {
  Endpoint table;
  Endpoint objects;
  // After it a request without a reply counts as unknown.
  Duration timeout = std::chrono::seconds(1);

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

// Bounds on what one connection may take of the node's memory.
struct TransportSettings {
  // A larger request head is refused. Not above what a node stream carries.
  std::uint32_t max_head_bytes = 16'384;
  // Of a request body that the node keeps so that it can send it again. The
  // first 16 KB are kept in any case, since the fingerprint covers them.
  std::uint32_t max_buffered_body_bytes = 65'536;
  std::uint32_t max_caller_connections = 4'096;
  // See CallerLimits.
  std::uint32_t max_pipelined_requests = 16;
  std::uint32_t max_read_ahead = 512;

  friend bool operator==(const TransportSettings&,
                         const TransportSettings&) = default;
};

// The target beside the node, as far as it is known before it says a word.
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
  // Holds the bearer token of the operator address. Without one that address
  // is a loopback address.
  std::optional<std::string> operator_token_file;
  LogLevel log_level = LogLevel::kInfo;
  // All but the id, which the daemon draws when it starts.
  NodeSettings node;
};

struct DaemonSettingsOrFaults {
  std::optional<DaemonSettings> settings;
  // Empty exactly if there are settings.
  YamlFaults faults;
};
DaemonSettingsOrFaults TryParseDaemonSettings(std::string_view yaml);

// Fails with a YamlFaults that lists every fault of the text.
boost::leaf::result<DaemonSettings> ParseDaemonSettings(std::string_view yaml);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_SETTINGS_DAEMON_SETTINGS_H_
