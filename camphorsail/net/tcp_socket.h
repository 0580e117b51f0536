#ifndef CAMPHORSAIL_NET_TCP_SOCKET_H_
#define CAMPHORSAIL_NET_TCP_SOCKET_H_

#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/network_address.h"

namespace camphorsail {

/// Opens a non-blocking listening socket.
///
/// @return The descriptor. Errors: `kInvalidRequest` when `address.ip` is not
/// an IP address, `kInternal` when the address cannot be bound.
Expected<int> ListenTcp(const NetworkAddress& address);

/// Starts a non-blocking connection.
///
/// @param source_ip The connection's source address. Ignored when it is a
/// wildcard or of another address family than `address`.
/// @return The descriptor of a socket that may still be connecting. Errors:
/// `kNoBackendServer` when it is known at once that nothing listens at the
/// address, else `kInternal`.
Expected<int> ConnectTcp(const std::string& source_ip,
                         const NetworkAddress& address);

/// Enables TCP keep-alive, so that the kernel reports an error within about
/// `limit` after the remote end became unreachable, even while nothing is sent.
void EnableKeepalive(int fd, absl::Duration limit);

/// Accepts a connection as non-blocking.
///
/// @return The descriptor; -1 with `errno` when no connection is waiting or it
/// cannot be accepted.
int AcceptTcp(int listen_fd);

/// @return Bytes that were written to the socket and that the remote end has
/// not acknowledged; 0 when the socket is closed.
size_t UnacknowledgedBytes(int fd);

/// @return The address of this end of a socket.
NetworkAddress LocalAddress(int fd);
/// @return The address of the remote end; an empty IP when the socket is no
/// longer connected.
NetworkAddress RemoteAddress(int fd);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_NET_TCP_SOCKET_H_
