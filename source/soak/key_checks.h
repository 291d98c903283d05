// Checks that servers get requests only with valid keys, and the name of the
// key's workspace instead of the key.

#ifndef BULRUSHMOUNT_SOAK_KEY_CHECKS_H_
#define BULRUSHMOUNT_SOAK_KEY_CHECKS_H_

#include <string>
#include <vector>

#include "soak/ledger_checks.h"

namespace bulrushmount::soak {

// Adds one line for each violation.
void CheckKeys(const SoakRecord& record, std::vector<std::string>& violations);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_KEY_CHECKS_H_
