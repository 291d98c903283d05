// Parses the command line of `bulrushmountctl`.

#ifndef BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_OPTIONS_H_
#define BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "core/store/table_types.h"

namespace bulrushmount {

enum class CtlCommand : std::uint8_t {
  kContractWrite,
  kContractShow,
  kContractList,
  kContractWithdraw,
  kContractCheck,
  kStatus,
  kReportBurn,
  kWorkspaces,
  kLogsSummary,
  kEvacuationList,
  kEvacuationBegin,
  kEvacuationEnd,
};

struct CtlOptions {
  CtlCommand command = CtlCommand::kStatus;
  // Operator address of any node; unset for commands that need no node.
  Endpoint node;
  std::string token_file;
  // The FILE, NAME or ZONE of the command; empty if it takes none.
  std::string argument;
  // kNoRow if the option is absent.
  RowVersion if_version;
  bool wait_until_in_force = false;
  Duration wait_limit = std::chrono::seconds(30);
  Duration timeout = std::chrono::seconds(10);
  // Format of a report: text, json or, of the burn report only, svg.
  std::string format = "text";
};

// Text of `--help` or `--version`, printed before a successful exit.
struct CtlInfoText {
  std::string text;
};

struct CtlUsageError {
  std::string message;
};

// `arguments` exclude the program name.
std::variant<CtlOptions, CtlInfoText, CtlUsageError> ParseCtlOptions(
    const std::vector<std::string>& arguments);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_OPTIONS_H_
