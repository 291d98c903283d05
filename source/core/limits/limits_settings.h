// Settings of the workspace limits with their defaults, and the values derived
// from them and from the number of members.

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
  // The home counts an allotment as in use for this long beyond its term, to
  // allow for clock drift between nodes.
  Duration clock_drift_margin = std::chrono::seconds(1);
  // Minimum time between two requests of an entry for a workspace that lacks
  // credit.
  Duration min_interval = std::chrono::milliseconds(250);
  // Lower and upper bound of the longest interval between two requests for an
  // active workspace; see MaxInterval.
  Duration small_fleet_interval = std::chrono::seconds(4);
  Duration large_fleet_interval = std::chrono::seconds(20);
  // After a workspace has moved to a new home, the entries have this long to
  // report the rates and in-flight shares that they still hold from the old
  // home. Until then the new home does not lend that part again.
  Duration handover_grace = std::chrono::seconds(5);
  // Target rate of requests that one entry sends to all homes together. With
  // more active workspaces the interval grows.
  double requests_per_second = 10;
  // Target rate of requests that a home receives for one workspace. With more
  // borrowers the interval grows.
  double home_requests_per_second = 50;
  // The same while the home ramps up lending for a workspace. The home can lend
  // the whole rate only after all entries have reported their demand, so it
  // lets them send requests more often at first.
  double home_first_requests_per_second = 100;
  // Fraction of a workspace's rate that is not lent as rates in a small fleet.
  // It is lent as single units to the entry that runs short first. See
  // LendablePart.
  double unlent_rate_part = 0.2;
  // A lent rate is this multiple of the demand of the entry, so demand can grow
  // this much before the rate runs short.
  double rate_headroom = 1.2;
  // The same, at most, while a workspace uses a small part of its limit. The
  // lent rates together then stay below `low_use_rate_part` of the lendable
  // rate, which leaves the rest for entries that have had no calls yet.
  double max_rate_headroom = 2;
  double low_use_rate_part = 0.5;
  // An entry whose rate is at least this multiple of its demand sends its next
  // request only after `relaxed_term_part` of the term. The remaining part of
  // the term leaves time to repeat requests after lost datagrams.
  double relaxed_headroom = 1.5;
  double relaxed_term_part = 0.7;
  // With that headroom an entry is lent up to this multiple of the units that
  // it requests.
  double relaxed_units_factor = 4;
  // An entry accumulates units from its lent rate for at most this long, but
  // always enough for two of its heaviest calls. With room for only one call,
  // units that accrue while that call waits would be lost.
  Duration rate_burst_window = std::chrono::milliseconds(500);
  // After more unanswered requests than this an entry treats the home as
  // silent.
  std::uint32_t max_unanswered_requests = 3;
  // Minimum that an entry may admit of a workspace without a report of the
  // home, used if the limit divided by the members is less: a first call must
  // not wait for the home.
  double initial_units = 4;
  std::uint32_t initial_in_flight = 4;
  // An entry returns the allotment of a workspace after this long without
  // calls.
  Duration idle_time = std::chrono::seconds(8);
  // Units lent and units kept at the home together are at most the larger of
  // the burst and the rate times this duration.
  Duration lending_horizon = std::chrono::seconds(1);
};

// The longest interval between two requests for an active workspace. It grows
// with `members`, because in a large fleet a home may have a loan with every
// member.
inline Duration MaxInterval(const LimitsSettings& settings,
                            std::size_t members) {
  const Duration wanted = FromSeconds(static_cast<double>(members) /
                                      settings.home_requests_per_second);
  return std::clamp(wanted, settings.small_fleet_interval,
                    settings.large_fleet_interval);
}

// The term of an allotment. The borrower counts it from before it sent the
// request that was answered. It spans three intervals, so two lost datagrams in
// a row do not end the loan.
inline Duration Term(const LimitsSettings& settings, std::size_t members) {
  return 3 * MaxInterval(settings, members) + std::chrono::seconds(2);
}

// The fraction of a workspace's rate that is lent as rates. With many entries
// each sends requests so rarely that single units would lie unused at the home,
// so the fraction grows with `members`.
inline double LendablePart(const LimitsSettings& settings,
                           std::size_t members) {
  const double requests_per_second =
      settings.home_requests_per_second / static_cast<double>(members);
  return 1.0 - settings.unlent_rate_part * std::min(1.0, requests_per_second);
}

// The maximum number of units of a workspace that are lent or available to be
// lent at any time.
inline double LendingCapacity(const LimitsSettings& settings,
                              const WorkspaceLimits& limits) {
  const double horizon = ToSeconds(settings.lending_horizon);
  return std::max(limits.burst_units, limits.units_per_second * horizon);
}

// The burst that one of `members` entries may admit without its home.
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
