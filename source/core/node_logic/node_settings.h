// The settings of one node's decision logic, typed, with their defaults in one
// place. The settings file of the daemon fills them in.

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

namespace bulrushmount {

// The last part of NodeSettings::longest_leave, in which nothing new is taken:
// what has begun can end, and the process ends by itself.
inline constexpr Duration kLastMoments = std::chrono::milliseconds(800);
// Of these, so much is left when the node ends whatever is under way.
inline constexpr Duration kEndMargin = std::chrono::milliseconds(200);

struct NodeSettings {
  NodeId id;
  // Where other nodes reach this one.
  Endpoint stream_endpoint;
  Endpoint gossip_endpoint;
  AvailabilityZone zone;
  Region region;
  // Zones that operators may evacuate; any if empty.
  std::vector<AvailabilityZone> known_zones;

  // SWIM: one direct heartbeat a period.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  // From suspicion to death, unless refuted.
  Duration suspicion_time = std::chrono::seconds(2);

  // How often the whole fleet together reads the configuration revision.
  double fleet_config_polls_per_second = 2.0;

  // Retries are at most this fraction of recent first attempts.
  double retry_budget_fraction = 0.2;
  std::uint32_t max_attempts = 4;

  // Term of a share of the measuring budget.
  Duration measuring_term = std::chrono::seconds(10);

  // What a request and its answer spend on the way to an owner in another
  // availability zone, and in another region. The picker weighs them against
  // the load it expects.
  Duration zone_round_trip = std::chrono::milliseconds(1);
  // What a kilobyte between availability zones costs, as the wait that a caller
  // would have instead; 0 where such bytes are free.
  Duration zone_kilobyte{};
  Duration region_round_trip = std::chrono::milliseconds(30);

  // A target's cold start, over which its share of picks rises.
  Duration warmup = std::chrono::seconds(10);

  // What a cold target tolerates in addition to the rate of its service.
  ColdStartSettings cold_start;

  // A convicted request is refused for this long.
  Duration quarantine_time = std::chrono::minutes(10);

  // The targets of the fleet are known by ids, and the operator writes one
  // routing document instead of contracts.
  bool has_route_document = false;

  // A request whose exchange broke off is suspected of crashing targets only
  // once its target is seen to be down. Without it every lost answer keeps its
  // request from being sent again.
  bool needs_crash_to_suspect = false;

  // A target that answers with errors or sheds stays in service at its owner:
  // whether it does worse than its peers only entries can see. Without it an
  // owner judges its target alone.
  bool do_entries_judge_errors = false;

  // Only what was handed to a target counts against the retry budget: an
  // owner's refusal costs its target nothing.
  bool is_refusal_free = false;

  // Owners that a call asks for a fast start before it takes the least slow one
  // found; 0 where targets do not tell their speed.
  std::uint32_t selective_attempts = 0;

  PolicySwitches policies;

  // Arrivals at targets beyond the first of each request, over the whole fleet
  // and any window of this length: a fraction of the requests (above) and this
  // many more.
  Duration retry_window = std::chrono::seconds(1);
  double retry_slack = 5.0;

  // After a shutdown was asked for, callers that have not yet heard are served
  // for this long, and for as long as they keep coming. 0: they are refused at
  // once.
  Duration leave_time{};
  // The node ends by then, whatever is under way: its platform would kill it.
  Duration longest_leave = std::chrono::hours(1);

  // The whole fleet starts for the first time, and no member has a row yet. The
  // nodes look for rows at different times then, so that most find one.
  bool is_first_start = false;
  // How often a node of a small fleet looks at the table's rows of members.
  Duration directory_interval = std::chrono::seconds(10);

  // An answer of which no byte moves for this long is broken off.
  Duration min_progress_time = std::chrono::seconds(30);
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_SETTINGS_H_
