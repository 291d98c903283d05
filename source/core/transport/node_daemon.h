// A whole node as a process runs it: the decision logic, its driver, the table
// and the pages, put together from the settings file.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_

#include <string>

#include "core/settings/daemon_settings.h"
#include "core/transport/daemon_protocols.h"

namespace bulrushmount {

// Runs a node until it has ended after SIGTERM or SIGINT. The settings are read
// again from `file` at SIGHUP and when the file has changed. Returns 0 if
// nothing was cut, and 1 if an address could not be had, the token file could
// not be read, or a second signal cut what was in progress.
int RunNodeDaemon(const DaemonSettings& settings,
                  const std::string& file,
                  DaemonProtocols& protocols);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_NODE_DAEMON_H_
