// The daemon: one node, beside one target, that speaks the product's own
// protocols.

#include "core/transport/daemon_main.h"

int main(int argc, char** argv) {
  bulrushmount::NativeProtocols protocols;
  return bulrushmount::DaemonMain(argc, argv, protocols);
}
