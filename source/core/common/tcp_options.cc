// Part of `tcp_options.h`.

#include "core/common/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushmount {

namespace {

// Silence before the first probe, between probes, and probes without an answer.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 2;
// The same for bytes that were sent and not acknowledged.
constexpr int kUnacknowledgedMs = 3000;

void Set(int socket, int level, int name, int value) {
  // A kernel without the option keeps its own times, which are longer.
  (void)::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void DetectDeadPeer(int socket) {
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

}  // namespace bulrushmount
