// The contract model: the terms that an operator grants one workspace, from
// which all limits on its traffic follow. The measuring budget and the
// evacuated availability zones are stored as contracts too.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// The workspace whose contract is the measuring budget.
inline constexpr char kMeasurementWorkspace[] = "measurement";

// The workspace whose contract lists the evacuated availability zones.
inline constexpr char kEvacuationWorkspace[] = "evacuation";

// For example "99 % within 50 ms".
struct LatencyObjective {
  // In (0, 1).
  double fraction = 0.99;
  Duration within{};

  friend bool operator==(const LatencyObjective&,
                         const LatencyObjective&) = default;
};

enum class KeyPolicy : std::uint8_t { kRequired, kOptional };

// One kind of request to one service. A request belongs to the first kind of
// the service whose method and path prefix match.
struct KindTerms {
  KindName name;
  // Upper case; "*" matches every method.
  std::string method;
  std::string path_prefix;
  // Whether the request may be executed twice without harm.
  bool is_repeatable = false;
  // Only meaningful if the kind is not repeatable.
  KeyPolicy key_policy = KeyPolicy::kRequired;
  // Units that one request takes from the workspace's limits.
  double weight = 1.0;
  // Bounds the time from arrival to the first byte of the answer.
  Duration deadline{};
  LatencyObjective objective;

  friend bool operator==(const KindTerms&, const KindTerms&) = default;
};

struct ServiceTerms {
  ServiceName name;
  std::vector<KindTerms> kinds;

  friend bool operator==(const ServiceTerms&, const ServiceTerms&) = default;
};

// Limits of a workspace over all entries together.
struct WorkspaceLimits {
  // Weighted units per second.
  double units_per_second = 0;
  // Weighted units that may arrive in one burst.
  double burst_units = 0;
  std::uint32_t in_flight = 0;

  friend bool operator==(const WorkspaceLimits&,
                         const WorkspaceLimits&) = default;
};

struct WorkspaceTerms {
  std::vector<ServiceTerms> services;
  WorkspaceLimits limits;
  // Weight relative to other workspaces when requests queue for a target.
  double share = 1.0;
  // How long the outcome of a request with an idempotency key is kept.
  Duration key_retention{};

  friend bool operator==(const WorkspaceTerms&,
                         const WorkspaceTerms&) = default;
};

// Upper bound of the probe traffic for one service over the whole fleet.
struct ServiceMeasuringBudget {
  ServiceName service;
  double probes_per_second = 0;
  std::uint32_t probes_in_flight = 0;

  friend bool operator==(const ServiceMeasuringBudget&,
                         const ServiceMeasuringBudget&) = default;
};

struct MeasuringTerms {
  std::vector<ServiceMeasuringBudget> budgets;

  friend bool operator==(const MeasuringTerms&,
                         const MeasuringTerms&) = default;
};

struct EvacuationTerms {
  std::vector<AvailabilityZone> zones;

  friend bool operator==(const EvacuationTerms&,
                         const EvacuationTerms&) = default;
};

struct Contract {
  WorkspaceName workspace;
  // MeasuringTerms if and only if `workspace` is kMeasurementWorkspace, and
  // EvacuationTerms if and only if it is kEvacuationWorkspace.
  std::variant<WorkspaceTerms, MeasuringTerms, EvacuationTerms> terms;

  friend bool operator==(const Contract&, const Contract&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_H_
