// bulrushmountd: the daemon, which runs one node next to one target and uses
// the built-in protocols.

#include "core/transport/daemon_main.h"

int main(int argc, char** argv) {
  bulrushmount::NativeProtocols protocols;
  return bulrushmount::DaemonMain(argc, argv, protocols);
}
