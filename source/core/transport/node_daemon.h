// Assembles and runs a complete node process from the settings file: the
// decision logic, its driver, the table client and the operators' pages.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_

#include <string>

#include "core/settings/daemon_settings.h"
#include "core/transport/daemon_protocols.h"

namespace bulrushmount {

// Runs a node until SIGTERM or SIGINT has shut it down. Reloads the settings
// from `file` at SIGHUP and when the file changes. Returns 0 if no call was cut
// off, and 1 if an address could not be opened, the token file could not be
// read, or a second signal cut off calls in progress.
int RunNodeDaemon(const DaemonSettings& settings,
                  const std::string& file,
                  DaemonProtocols& protocols);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_
