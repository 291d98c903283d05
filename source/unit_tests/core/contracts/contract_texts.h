// Contract texts and requests of operators for the tests of this folder.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONTRACT_TEXTS_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONTRACT_TEXTS_H_

#include <string>

#include <fmt/format.h>

#include "core/node_logic/events.h"

namespace bulrushmount {

// Service `desk` with the kinds `browse` (GET /scripts) and `other` (any
// method, /scripts). `rate` distinguishes versions.
inline std::string MakeContractText(const std::string& workspace, double rate) {
  return fmt::format(R"(workspace: {}
services:
  - name: desk
    kinds:
      - {{name: browse, method: GET, path: /scripts, repeatable: true,
         deadline: 500ms, objective: {{fraction: 0.99, within: 50ms}}}}
      - {{name: other, method: "*", path: /scripts, repeatable: false,
         deadline: 2s, objective: {{fraction: 0.99, within: 300ms}}}}
limits: {{units_per_second: {}, burst_units: 20, in_flight: 5}}
key_retention: 24h
)",
                     workspace, rate);
}

inline OperatorRequested WriteRequest(const std::string& workspace,
                                      double rate,
                                      RowVersion if_version = kNoRow) {
  return {OperatorRequestId(1), OperatorVerb::kWrite, WorkspaceName(workspace),
          MakeContractText(workspace, rate), if_version};
}

inline OperatorRequested WithdrawRequest(const std::string& workspace,
                                         RowVersion if_version) {
  return {OperatorRequestId(1), OperatorVerb::kWithdraw,
          WorkspaceName(workspace), "", if_version};
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_CONTRACTS_CONTRACT_TEXTS_H_
