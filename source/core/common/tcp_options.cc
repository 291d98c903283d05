// Part of `tcp_options.h`.

#include "core/common/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushmount {

namespace {

// Idle time before the first keep-alive probe, interval between probes, and
// number of unanswered probes.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 2;
// Time-out for sent bytes that are not acknowledged.
constexpr int kUnacknowledgedMs = 3000;

void Set(int socket, int level, int name, int value) {
  // A kernel without the option keeps its own longer time-outs.
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
