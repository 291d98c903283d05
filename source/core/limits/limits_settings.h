// Settings of the workspace limits, with their defaults in one place.

#ifndef BULRUSHMOUNT_CORE_LIMITS_LIMITS_SETTINGS_H_
#define BULRUSHMOUNT_CORE_LIMITS_LIMITS_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/common/time.h"
#include "core/contracts/contract.h"

namespace bulrushmount {

struct LimitsSettings {
  // The home counts an allotment for this much longer: clock drift.
  Duration margin = std::chrono::seconds(1);
  // Between two requests of an entry for a workspace that lacks credit.
  Duration min_interval = std::chrono::milliseconds(250);
  // Bounds of the longest interval between two requests for an active
  // workspace; see MaxInterval.
  Duration small_fleet_interval = std::chrono::seconds(4);
  Duration large_fleet_interval = std::chrono::seconds(20);
  // After a workspace has moved to a new home, the entries have so long to tell
  // it what they hold of the old one; till then it lends nothing of that anew.
  Duration grace = std::chrono::seconds(5);
  // Aim for requests to all homes together, per entry. More active workspaces
  // stretch the interval.
  double requests_per_second = 10;
  // Aim for requests that a home gets for one workspace. More borrowers stretch
  // the interval.
  double home_requests_per_second = 50;
  // The same while the home has just begun to lend a workspace's limits: the
  // sooner it hears the demand of all entries, the sooner the rate is lent.
  double home_first_requests_per_second = 100;
  // Part of a workspace's rate that is not lent as rates, in a small fleet: it
  // goes out as single units to whoever runs short first. See LendablePart.
  double unlent_rate_part = 0.2;
  // An entry's demand may grow by so much before its rate runs short.
  double rate_headroom = 1.2;
  // The same while a workspace uses a small part of its limit, as long as half
  // of the rate stays free for entries that have had no calls yet.
  double ample_headroom = 2;
  double ample_part = 0.5;
  // With at least this headroom an entry asks again only after `calm_part` of
  // its term. The rest of it is for lost datagrams.
  double calm_headroom = 1.5;
  double calm_part = 0.7;
  // In calm times an entry gets so many times the units that it wants to have.
  double calm_units = 4;
  // Units of a lent rate that an entry saves up are at most this much of it, or
  // two calls: with one, what comes in while a saved call waits is lost.
  Duration rate_saving = std::chrono::milliseconds(500);
  // Requests without an answer after which an entry takes the home for silent.
  std::uint32_t silent_after = 3;
  // What an entry admits of a workspace before the first report of the home, if
  // the limit divided by the members is less: a first call must not wait.
  double initial_units = 4;
  std::uint32_t initial_in_flight = 4;
  // An entry gives a workspace's allotment back after this long without calls.
  Duration idle_time = std::chrono::seconds(8);
  // The units lent and kept at the home are together at most the larger of the
  // burst and this much of the rate.
  Duration lending_horizon = std::chrono::seconds(1);
};

// The longest interval between two requests for an active workspace: in large
// fleets a home may have a loan with each of `members`.
inline Duration MaxInterval(const LimitsSettings& settings,
                            std::size_t members) {
  const Duration wanted = FromSeconds(static_cast<double>(members) /
                                      settings.home_requests_per_second);
  return std::clamp(wanted, settings.small_fleet_interval,
                    settings.large_fleet_interval);
}

// An allotment is valid for so long, counted at the borrower from before it
// sent the request that was answered. Two lost datagrams do no harm.
inline Duration Term(const LimitsSettings& settings, std::size_t members) {
  return 3 * MaxInterval(settings, members) + std::chrono::seconds(2);
}

// The part of a workspace's rate that is lent as rates. With many entries the
// home hears of each so rarely that single units would lie idle there.
inline double LendablePart(const LimitsSettings& settings,
                           std::size_t members) {
  const double requests_per_second =
      settings.home_requests_per_second / static_cast<double>(members);
  return 1.0 - settings.unlent_rate_part * std::min(1.0, requests_per_second);
}

// The most units of a workspace that are lent, or kept to be lent, at a time.
inline double LendingCapacity(const LimitsSettings& settings,
                              const WorkspaceLimits& limits) {
  const double horizon = ToSeconds(settings.lending_horizon);
  return std::max(limits.burst_units, limits.units_per_second * horizon);
}

// What one entry of `members` may admit at once without its home.
inline double AllowedUnits(const LimitsSettings& settings,
                           const WorkspaceLimits& limits,
                           std::size_t members) {
  const double part = limits.burst_units / static_cast<double>(members);
  return std::max(part, std::min(limits.burst_units, settings.initial_units));
}

inline std::uint32_t AllowedInFlight(const LimitsSettings& settings,
                                     const WorkspaceLimits& limits,
                                     std::size_t members) {
  const auto part = static_cast<std::uint32_t>(limits.in_flight / members);
  return std::max(part, std::min(limits.in_flight, settings.initial_in_flight));
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_LIMITS_SETTINGS_H_
