// Checks that servers get no more requests of a workspace than its limit allows
// in any window.

#ifndef BULRUSHMOUNT_SOAK_LIMIT_CHECKS_H_
#define BULRUSHMOUNT_SOAK_LIMIT_CHECKS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "soak/ledger_checks.h"

namespace bulrushmount::soak {

// Limits of kLimitedWorkspace and settings of the nodes.
inline constexpr double kLimitRate = 5;
inline constexpr double kLimitBurst = 5;
inline constexpr Duration kLimitWindow = std::chrono::seconds(5);
inline constexpr double kLimitOverage = 0.1;
inline constexpr double kLimitSlack = 20;
// (rate x window + burst) x (1 + overage) + slack.
inline constexpr std::size_t kLimitBound = 53;

// Adds a line with the worst window if it violates the bound.
void CheckLimits(const SoakRecord& record,
                 std::vector<std::string>& violations);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_LIMIT_CHECKS_H_
