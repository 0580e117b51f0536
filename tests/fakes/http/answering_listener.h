#ifndef TESTS_FAKES_HTTP_ANSWERING_LISTENER_H_
#define TESTS_FAKES_HTTP_ANSWERING_LISTENER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"

namespace camphorsail {

/// Accepts connections on a loopback port, one at a time, records what arrives
/// and answers requests, whose bodies end in "body".
class AnsweringListener {
 public:
  /// When an answer is sent, and how its connection ends.
  enum class Manner {
    /// After the whole request; the other side closes the connection.
    kAfterRequest,
    /// After the first bytes of a request. The rest is not read; the connection
    /// is reset once the other side can write no more.
    kEarlyThenReset,
  };

  /// @param answers Bytes of the answers to the first requests; the last one
  /// goes to all others. An empty answer is not sent.
  explicit AnsweringListener(std::vector<std::string> answers,
                             Manner manner = Manner::kAfterRequest)
      : answers_(std::move(answers)), manner_(manner) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(socket_, generic, size), 0);
    EXPECT_EQ(listen(socket_, 8), 0);
    EXPECT_EQ(getsockname(socket_, generic, &size), 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~AnsweringListener() {
    stop_.Notify();
    thread_.join();
    close(socket_);
  }
  AnsweringListener(const AnsweringListener&) = delete;
  AnsweringListener& operator=(const AnsweringListener&) = delete;

  std::string Url() const {
    return absl::StrCat("http://127.0.0.1:", port_, "/usage");
  }
  int connections() {
    absl::MutexLock lock(&mutex_);
    return connections_;
  }
  std::string received() {
    absl::MutexLock lock(&mutex_);
    return received_;
  }
  /// @return True when the last connection was closed by the other side.
  bool WaitForClose() {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&closed_),
                                   absl::Seconds(10));
  }

 private:
  /// Time within which the other side fills the buffers of a connection.
  static constexpr absl::Duration kFillTime = absl::Milliseconds(100);

  void Run() {
    while (!stop_.HasBeenNotified()) {
      if (IsReadable(socket_)) {
        const int connection = accept(socket_, nullptr, nullptr);
        Serve(connection);
        close(connection);
      }
    }
  }
  void Serve(int connection) {
    {
      absl::MutexLock lock(&mutex_);
      ++connections_;
      closed_ = false;
    }
    std::string request;
    while (!stop_.HasBeenNotified()) {
      if (!IsReadable(connection)) {
        continue;
      }
      char buffer[4096];
      const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
      absl::MutexLock lock(&mutex_);
      if (size <= 0) {
        closed_ = true;
        return;
      }
      received_.append(buffer, static_cast<size_t>(size));
      request.append(buffer, static_cast<size_t>(size));
      if (manner_ == Manner::kEarlyThenReset) {
        Answer(connection);
        stop_.WaitForNotificationWithTimeout(kFillTime);
        const linger discard = {1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard,
                   sizeof(discard));
        return;
      }
      if (absl::EndsWith(request, "body")) {
        request.clear();
        Answer(connection);
      }
    }
  }
  void Answer(int connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const std::string& answer =
        answers_[std::min(answered_++, answers_.size() - 1)];
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  }
  static bool IsReadable(int socket) {
    pollfd readable = {socket, POLLIN, 0};
    return poll(&readable, 1, 10) > 0;
  }

  const std::vector<std::string> answers_;
  const Manner manner_;
  int socket_ = -1;
  int port_ = 0;
  absl::Notification stop_;
  absl::Mutex mutex_;
  size_t answered_ ABSL_GUARDED_BY(mutex_) = 0;
  int connections_ ABSL_GUARDED_BY(mutex_) = 0;
  std::string received_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // TESTS_FAKES_HTTP_ANSWERING_LISTENER_H_
