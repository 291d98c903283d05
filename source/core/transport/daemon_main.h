// The command line of a daemon: parses the options, loads the settings file and
// runs a node.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_

#include "core/transport/daemon_protocols.h"

namespace bulrushmount {

// Returns the exit code for `main`: 2 if the options or the settings are
// invalid, otherwise the result of RunNodeDaemon.
int DaemonMain(int argc, char** argv, DaemonProtocols& protocols);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_
