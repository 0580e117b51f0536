#include "camphorsail/net/tcp_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

/// A socket address of either family with its size.
struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t size = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// @return The socket address; its size is zero when `address.ip` is not an IP
/// address.
SocketAddress ToSocketAddress(const NetworkAddress& address) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    result.size = sizeof(sockaddr_in);
  } else if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    result.size = sizeof(sockaddr_in6);
  }
  return result;
}

NetworkAddress FromSocketAddress(const SocketAddress& address) {
  std::array<char, INET6_ADDRSTRLEN> text = {};
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
  if (address.storage.ss_family == AF_INET) {
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
  }
  inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  return {text.data(), ntohs(v6->sin6_port)};
}

/// Closes the socket and reports the system's error.
tl::unexpected<Error> FailAndClose(int fd, const char* action) {
  const int error = errno;
  close(fd);
  return Fail(ErrorKind::kInternal,
              absl::StrCat(action, ": ", std::strerror(error)));
}

void SetNoDelay(int fd) {
  // Consensus messages and stream events are small and sensitive to latency, so
  // they must not wait to be combined.
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Expected<int> ListenTcp(const NetworkAddress& address) {
  const SocketAddress target = ToSocketAddress(address);
  if (target.size == 0) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("not an IP address: ", address.ip));
  }
  const int fd = socket(target.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Fail(ErrorKind::kInternal, "socket");
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, target.get(), target.size) != 0) {
    return FailAndClose(fd, "bind");
  }
  if (listen(fd, SOMAXCONN) != 0) {
    return FailAndClose(fd, "listen");
  }
  return fd;
}

Expected<int> ConnectTcp(const std::string& source_ip,
                         const NetworkAddress& address) {
  const SocketAddress target = ToSocketAddress(address);
  const SocketAddress source = ToSocketAddress({source_ip, 0});
  const int fd = socket(target.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Fail(ErrorKind::kInternal, "socket");
  }
  const bool wildcard = source_ip == "0.0.0.0" || source_ip == "::";
  if (!wildcard && source.storage.ss_family == target.storage.ss_family) {
    // The kernel chooses the source port in `connect`, so that connections to
    // different targets can use the same port.
    const int on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (bind(fd, source.get(), source.size) != 0) {
      return FailAndClose(fd, "bind");
    }
  }
  SetNoDelay(fd);
  if (connect(fd, target.get(), target.size) != 0 && errno != EINPROGRESS) {
    const bool is_refused = errno == ECONNREFUSED;
    Expected<int> failed = FailAndClose(fd, "connect");
    if (is_refused) {
      failed.error().kind = ErrorKind::kNoBackendServer;
    }
    return failed;
  }
  return fd;
}

void EnableKeepalive(int fd, absl::Duration limit) {
  const int on = 1;
  // The first probe is sent after half of the limit without traffic, and the
  // connection fails after two unanswered probes.
  const int idle_s =
      std::max(1, static_cast<int>(absl::ToInt64Seconds(limit / 2)));
  const int interval_s = 1;
  const int probes = 2;
  const auto limit_ms =
      static_cast<unsigned int>(absl::ToInt64Milliseconds(limit));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

int AcceptTcp(int listen_fd) {
  const int fd =
      accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    SetNoDelay(fd);
  }
  return fd;
}

size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<size_t>(bytes) : 0;
}

NetworkAddress LocalAddress(int fd) {
  SocketAddress address;
  address.size = sizeof(address.storage);
  if (getsockname(fd, address.get(), &address.size) != 0) {
    return {};
  }
  return FromSocketAddress(address);
}

NetworkAddress RemoteAddress(int fd) {
  SocketAddress address;
  address.size = sizeof(address.storage);
  if (getpeername(fd, address.get(), &address.size) != 0) {
    return {};
  }
  return FromSocketAddress(address);
}

}  // namespace camphorsail
