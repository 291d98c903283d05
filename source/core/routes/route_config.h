// The routing configuration: which requests go to which service, with their
// timeouts and retry rules, and the workspaces that may send them. Operators
// write it as one document; a decoder for the format of the platform converts
// it to these values.

#ifndef BULRUSHMOUNT_CORE_ROUTES_ROUTE_CONFIG_H_
#define BULRUSHMOUNT_CORE_ROUTES_ROUTE_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/workspaces/key_digest.h"

namespace bulrushmount {

// One destination of a route and its share of the requests.
struct RouteShare {
  ServiceName service;
  // Greater than 0; relative to the other shares of the route.
  double weight = 1.0;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

// Matches requests of one host whose path starts with a prefix.
struct Route {
  // Used as the kind of request in histograms and service times.
  KindName name;
  // Without a port.
  std::string host;
  // Begins and ends with '/'.
  std::string path_prefix;
  // Whether the request may safely be executed twice.
  bool is_repeatable = false;
  // Maximum time until the caller has a final answer.
  Duration timeout{};
  // Latency objective: an answer after this time is worth less to the caller.
  Duration latency_objective{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of targets that one call may be handed to, including the
  // first.
  std::uint32_t max_attempts = 1;
  // Not empty.
  std::vector<RouteShare> shares;
  // Requests need no key, even if the document has workspaces.
  bool is_public = false;

  friend bool operator==(const Route&, const Route&) = default;
};

// A customer whose requests are identified by its keys.
struct Workspace {
  // Not empty, without control characters.
  WorkspaceName name;
  // Empty if all keys are withdrawn.
  std::vector<KeyDigest> keys;
  // Overrides the priority of the routes; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  // Limit over the whole fleet, in requests; there is none if both are 0. Not
  // negative.
  double units_per_second = 0;
  double burst_units = 0;

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

// Settings of all targets of a service.
struct ServiceProfile {
  ServiceName name;
  std::string health_path;
  // Connections that one target accepts from all callers together.
  std::uint32_t max_connections = 1;
  // Requests per second that a cold target tolerates; empty: no limit.
  std::optional<double> cold_rate{};

  friend bool operator==(const ServiceProfile&,
                         const ServiceProfile&) = default;
};

// Limits on the size and duration of requests of callers.
struct CallerBounds {
  std::uint32_t max_head_bytes = 16'384;
  std::uint64_t max_body_bytes = std::uint64_t{64} << 20;
  // Maximum time from the first byte of a head to its end.
  Duration head_time = std::chrono::seconds(10);
  // Maximum time between two requests of a connection.
  Duration idle_time = std::chrono::seconds(60);

  friend bool operator==(const CallerBounds&, const CallerBounds&) = default;
};

struct RouteConfig {
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  CallerBounds callers;
  // Unique names, and no key occurs in two of them. Empty optional: requests
  // need no keys.
  std::optional<std::vector<Workspace>> workspaces;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTES_ROUTE_CONFIG_H_
