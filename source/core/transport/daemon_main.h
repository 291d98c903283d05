// The command line of a daemon: options, the settings file, and then a node.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_

#include "core/transport/daemon_protocols.h"

namespace bulrushmount {

// What `main` returns: 2 if the options or the settings are wrong, else as
// RunNodeDaemon.
int DaemonMain(int argc, char** argv, DaemonProtocols& protocols);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_MAIN_H_
