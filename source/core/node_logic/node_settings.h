// Settings of the decision logic of one node and their defaults. The daemon
// fills them from its settings file.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_SETTINGS_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/admission/cold_start_limiter.h"
#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/node_logic/policy_switches.h"
#include "core/workspace_limits/workspace_limits_settings.h"

namespace bulrushmount {

// The last part of NodeSettings::longest_leave, in which no new requests are
// accepted, so that running ones can end and the process exits normally.
inline constexpr Duration kFinalDrainTime = std::chrono::milliseconds(800);
// Time before the end of longest_leave at which the node exits regardless of
// requests in progress.
inline constexpr Duration kExitMargin = std::chrono::milliseconds(200);

struct NodeSettings {
  NodeId id;
  // Endpoints at which other nodes reach this one.
  Endpoint stream_endpoint;
  Endpoint gossip_endpoint;
  AvailabilityZone zone;
  Region region;
  // Zones that operators may evacuate; any if empty.
  std::vector<AvailabilityZone> known_zones;

  // SWIM protocol period: one direct probe per period.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  // Time from suspicion until a member is declared dead unless it refutes.
  Duration suspicion_time = std::chrono::seconds(2);

  // Rate at which all nodes together read the configuration revision.
  double fleet_config_polls_per_second = 2.0;

  // Retries are at most this fraction of recent first attempts.
  double retry_budget_fraction = 0.2;
  std::uint32_t max_attempts = 4;

  // Lease time of a share of the measuring budget.
  Duration measuring_term = std::chrono::seconds(10);

  // Network round-trip time to an owner in another availability zone and in
  // another region. The picker adds it to the expected service time.
  Duration zone_round_trip = std::chrono::milliseconds(1);
  // Cost of transferring a kilobyte between availability zones, as the
  // additional delay for the caller that it is worth avoiding; 0 where transfer
  // is free.
  Duration zone_kilobyte{};
  // Part of the spare time of a call's latency objective that it may spend to
  // stay in its availability zone; 0: only the two costs above count.
  double zone_spare_time_part = 0;
  Duration region_round_trip = std::chrono::milliseconds(30);

  // Duration of a target's cold start, over which its share of the picks rises.
  Duration warmup = std::chrono::seconds(10);

  // Allowance of a cold target in addition to the cold rate of its service.
  ColdStartSettings cold_start;

  // How long a quarantined request is refused.
  Duration quarantine_time = std::chrono::minutes(10);

  // Targets have ids, and the operator writes one routing document instead of
  // contracts.
  bool has_route_document = false;

  // A request whose exchange failed is suspected of crashing targets only once
  // its target is found to be down. If false, every lost answer makes its
  // request suspect and prevents a retry.
  bool needs_crash_to_suspect = false;

  // A target that answers with errors or sheds stays in service at its owner,
  // because only entries can compare it with its peers. If false, the owner
  // decides alone.
  bool do_entries_evaluate_errors = false;

  // Only attempts that were handed to a target count against the retry budget,
  // since a refusal by an owner costs its target nothing.
  bool refusals_cost_no_retry = false;

  // Number of owners tried for a fast start before the call takes the fastest
  // start that was offered; 0 where targets do not report their speed.
  std::uint32_t selective_attempts = 0;

  // Requests with a key of a workspace are refused if the routing document has
  // not been confirmed as the newest for this long; empty: they are served.
  std::optional<Duration> max_unconfirmed_document;

  // Tolerance of the limits of workspaces over the fleet.
  WorkspaceLimitsSettings workspace_limits;

  PolicySwitches policies;

  // Retry budget of the fleet: in any window of this length, hand-overs to
  // targets beyond the first of each request are limited to
  // retry_budget_fraction of the requests plus `retry_slack`.
  Duration retry_window = std::chrono::seconds(1);
  double retry_slack = 5.0;

  // After a shutdown request, callers are served for at least this long and as
  // long as they keep sending. 0: they are refused at once.
  Duration leave_time{};
  // The node exits by then regardless of requests in progress, since its
  // platform would kill it.
  Duration longest_leave = std::chrono::hours(1);

  // The whole fleet starts for the first time, and the table has no member rows
  // yet. The nodes then read the rows at different times, so that most of them
  // find one.
  bool is_first_start = false;
  // Interval at which a node of a small fleet reads the member rows of the
  // table.
  Duration directory_interval = std::chrono::seconds(10);

  // An answer without any transferred byte for this long is aborted.
  Duration min_progress_time = std::chrono::seconds(30);

  // An answer that is not complete this long after its request arrived is
  // aborted, also if it makes progress. Only without a routing document: the
  // timeout of a route limits the complete answer.
  Duration max_answer_time = std::chrono::hours(1);
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_SETTINGS_H_
