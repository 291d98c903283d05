// Checks that servers get no more requests than they state in their answers:
// within the rate that they name, and none once they are leaving.

#ifndef BULRUSHMOUNT_SOAK_NOTICE_CHECKS_H_
#define BULRUSHMOUNT_SOAK_NOTICE_CHECKS_H_

#include <string>
#include <vector>

#include "soak/ledger_checks.h"

namespace bulrushmount::soak {

// Adds one line for each violation.
void CheckNotices(const SoakRecord& record,
                  std::vector<std::string>& violations);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_NOTICE_CHECKS_H_
