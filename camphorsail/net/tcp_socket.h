#ifndef CAMPHORSAIL_NET_TCP_SOCKET_H_
#define CAMPHORSAIL_NET_TCP_SOCKET_H_

#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/network_address.h"

namespace camphorsail {

/// Opens a non-blocking listening socket.
///
/// @return The descriptor. Errors: `kInvalidRequest` for an address that is
/// none, `kInternal` when it cannot be bound.
Expected<int> ListenTcp(const NetworkAddress& address);

/// Starts a non-blocking connection.
///
/// @param source_ip The connection's source address, unless it is a wildcard.
/// @return The descriptor of a socket that may still be connecting. Error:
/// `kInternal`.
Expected<int> ConnectTcp(const std::string& source_ip,
                         const NetworkAddress& address);

/// Has the kernel notice within about `limit` that the other end is gone or
/// that the path to it is cut, also while nothing is sent.
void DetectSilence(int fd, absl::Duration limit);

/// Accepts a connection as non-blocking.
///
/// @return The descriptor; -1 when none waits or none can be accepted.
int AcceptTcp(int listen_fd);

/// @return The address of this end of a socket.
NetworkAddress LocalAddress(int fd);
/// @return The address of the other end; an empty IP when it is gone.
NetworkAddress RemoteAddress(int fd);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_NET_TCP_SOCKET_H_
