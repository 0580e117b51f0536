#ifndef TESTS_FAKES_GATEWAY_FAKE_SERVER_H_
#define TESTS_FAKES_GATEWAY_FAKE_SERVER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "camphorsail/net/tcp_socket.h"
#include "tests/fakes/gateway/raw_socket.h"

namespace camphorsail {

/// A backend server that accepts connections and whose answers the test writes
/// byte by byte.
class FakeServer {
 public:
  FakeServer() : fd_(*ListenTcp({"127.0.0.1", 0})) {}
  ~FakeServer() { StopListening(); }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  uint16_t port() const { return LocalAddress(fd_).port; }

  /// Accepts new connections and reads all data that has arrived.
  void Poll() {
    for (int fd = AcceptTcp(fd_); fd >= 0; fd = AcceptTcp(fd_)) {
      connections_.push_back(std::make_unique<RawSocket>(fd));
    }
    for (const auto& connection : connections_) {
      connection->Poll();
    }
  }
  /// Resets all connections and stops listening, as a process that ends.
  void Crash() {
    Poll();
    StopListening();
    for (const auto& connection : connections_) {
      connection->Reset();
    }
  }
  /// @return Connections accepted so far.
  size_t connection_count() {
    Poll();
    return connections_.size();
  }
  RawSocket& connection(size_t i) { return *connections_[i]; }
  /// @return Number of times that `text` was received, over all connections.
  size_t Count(const std::string& text) {
    Poll();
    size_t count = 0;
    for (const auto& connection : connections_) {
      for (size_t at = connection->received().find(text);
           at != std::string::npos;
           at = connection->received().find(text, at + 1)) {
        ++count;
      }
    }
    return count;
  }

 private:
  void StopListening() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

  int fd_;
  std::vector<std::unique_ptr<RawSocket>> connections_;
};

}  // namespace camphorsail

#endif  // TESTS_FAKES_GATEWAY_FAKE_SERVER_H_
