// Limits of workspaces over the fleet: the limit of one workspace, the settings
// of a deployment, and how the bound that they state is divided.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_SETTINGS_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_SETTINGS_H_

#include <algorithm>
#include <chrono>

#include "core/common/time.h"

namespace bulrushmount {

// The limit of one workspace over the whole fleet. One request takes one unit.
struct WorkspaceRate {
  double units_per_second = 0;
  double burst_units = 0;

  // If both are 0 there is no limit.
  bool IsLimited() const { return units_per_second > 0 || burst_units > 0; }

  friend bool operator==(const WorkspaceRate&, const WorkspaceRate&) = default;
};

// In any window of this length, over all nodes, at most
//   (rate x window + burst) x (1 + overage) + slack
// requests of a workspace are forwarded to targets.
struct WorkspaceLimitsSettings {
  Duration window = std::chrono::seconds(5);
  double overage = 0;
  double slack = 0;

  friend bool operator==(const WorkspaceLimitsSettings&,
                         const WorkspaceLimitsSettings&) = default;
};

namespace detail {

// Granted units must be used within this time from when their request was first
// sent. Two hundred milliseconds of the rate are two fifths of an overage of
// 0.1 over a window of 5 s.
inline constexpr Duration kUnitLifetime = std::chrono::milliseconds(200);

// Maximum time for which a call waits for units.
inline constexpr Duration kMaxUnitWait = std::chrono::milliseconds(60);

// A process pause of this length may have outlasted the detection of a dead
// member, which takes at least the suspicion time of 2 s.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// What a window may admit beyond rate x window + burst.
inline double ExcessOf(const WorkspaceLimitsSettings& settings,
                       const WorkspaceRate& rate) {
  const double base =
      rate.units_per_second * ToSeconds(settings.window) + rate.burst_units;
  return settings.overage * base + settings.slack;
}

// Parts of the excess. The remaining tenth covers rounding to whole units and
// requests that are forwarded a second time.
inline constexpr double kHomePart = 0.6;
inline constexpr double kReservePart = 0.3;

// Capacity of the home's bucket. Its part of the excess covers the units that
// are used up to kUnitLifetime after their grant; the rest of it adds to the
// burst, since a small workspace whose calls arrive at random would often find
// a bucket of a few units empty although it stays below its rate. At least one
// unit, since no call could be admitted otherwise.
inline double HomeCapacity(const WorkspaceLimitsSettings& settings,
                           const WorkspaceRate& rate) {
  const double lag = rate.units_per_second * ToSeconds(kUnitLifetime);
  return std::max(
      1.0, rate.burst_units + kHomePart * ExcessOf(settings, rate) - lag);
}

// Capacity of the deputy's reserve, which also refills once per window: both
// together stay within kReservePart of the excess in any window extended by
// kUnitLifetime.
inline double ReserveCapacity(const WorkspaceLimitsSettings& settings,
                              const WorkspaceRate& rate) {
  const double window = ToSeconds(settings.window);
  const double refills = (window + ToSeconds(kUnitLifetime)) / window;
  return kReservePart * ExcessOf(settings, rate) / (1 + refills);
}

inline double ReserveRate(const WorkspaceLimitsSettings& settings,
                          const WorkspaceRate& rate) {
  return ReserveCapacity(settings, rate) / ToSeconds(settings.window);
}

}  // namespace detail

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_WORKSPACE_LIMITS_SETTINGS_H_
