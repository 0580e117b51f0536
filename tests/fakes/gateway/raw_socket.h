#ifndef TESTS_FAKES_GATEWAY_RAW_SOCKET_H_
#define TESTS_FAKES_GATEWAY_RAW_SOCKET_H_

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <utility>

#include "camphorsail/net/tcp_socket.h"

namespace camphorsail {

/// One end of a TCP connection that a test reads and writes byte by byte.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)),
        received_(std::move(other.received_)),
        ended_(other.ended_) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  static RawSocket Connect(uint16_t port) {
    return RawSocket(*ConnectTcp("127.0.0.1", {"127.0.0.1", port}));
  }

  /// Writes `bytes`, which must fit into the socket's buffer.
  void Write(std::string_view bytes) {
    while (send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0 &&
           (errno == EAGAIN || errno == ENOTCONN)) {
      usleep(1000);
    }
  }
  /// Reads all data that has arrived.
  void Poll() {
    std::array<char, 65536> buffer;
    while (fd_ >= 0) {
      const ssize_t size =
          recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size <= 0) {
        ended_ = ended_ || size == 0 ||
                 (errno != EAGAIN && errno != ENOTCONN && errno != EINTR);
        return;
      }
      received_.append(buffer.data(), static_cast<size_t>(size));
    }
  }
  const std::string& received() const { return received_; }
  void Clear() { received_.clear(); }
  bool Has(std::string_view text) {
    Poll();
    return received_.find(text) != std::string::npos;
  }
  /// @return True when the other end has closed or reset the connection.
  bool HasEnded() {
    Poll();
    return ended_;
  }
  void ShutdownWrite() { shutdown(fd_, SHUT_WR); }
  /// Closes the connection with a TCP reset.
  void Reset() {
    const linger option = {1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  void Close() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_;
  std::string received_;
  bool ended_ = false;
};

}  // namespace camphorsail

#endif  // TESTS_FAKES_GATEWAY_RAW_SOCKET_H_
