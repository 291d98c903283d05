// Entry point of the command line tool `bulrushmountctl`. Results and errors
// are written to the given streams, so that tests can run it in process.

#ifndef BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_COMMANDS_H_
#define BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace bulrushmount {

// Exit status of the process.
enum class CtlExitCode : int {
  kDone = 0,
  // The node refused the request, for example because another operator changed
  // the contract first.
  kRefused = 1,
  // Invalid arguments, or faults in the contract file.
  kUsage = 2,
  // The node cannot be reached, or the outcome of the request is unknown.
  kUnknown = 3,
};

// Runs the command given by `arguments`, which exclude the program name.
// Results are written to `out`, errors to `error`.
CtlExitCode RunCtl(const std::vector<std::string>& arguments,
                   std::ostream& out,
                   std::ostream& error);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BULRUSHMOUNTCTL_CTL_COMMANDS_H_
