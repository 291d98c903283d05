// Options of TCP sockets that the standard library's own names lack.

#ifndef BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_
#define BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_

namespace bulrushmount {

// Has the kernel end a connection whose other end has been silent for about
// three seconds, also while nothing is sent on it.
//
// What goes wrong without it: a connection can go dead without a word, behind a
// cut or a host that lost its power. One that waits for the other end to speak
// waits for ever; one would see a node that no longer hears of changes.
void DetectDeadPeer(int socket);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_TCP_OPTIONS_H_
