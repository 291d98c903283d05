// TCP socket options that the socket library has no names for.

#ifndef BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_
#define BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_

namespace bulrushmount {

// Makes the kernel close a connection whose peer has been silent for about
// three seconds, even while nothing is sent on it.
//
// Without it, a connection that is cut off or whose peer has lost power can
// stay open without any error, and a reader of it waits for ever: for example,
// a node that watches the table would no longer learn of configuration changes.
void DetectDeadPeer(int socket);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_
