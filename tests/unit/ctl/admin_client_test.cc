#include "ctl/admin_client.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "camphorsail/net/tcp_socket.h"
#include "gtest/gtest.h"
#include "tests/fakes/http/answering_listener.h"
#include "tests/fakes/http/malformed_heads.h"

namespace camphorsail::ctl {
namespace {

/// A server that accepts one connection per prepared answer, reads one request,
/// sends the answer and closes the connection.
class OneShotServer {
 public:
  explicit OneShotServer(std::vector<std::string> answers)
      : listen_fd_(*ListenTcp({"127.0.0.1", 0})),
        answers_(std::move(answers)),
        thread_([this] { Run(); }) {}
  ~OneShotServer() {
    Join();
    close(listen_fd_);
  }
  OneShotServer(const OneShotServer&) = delete;
  OneShotServer& operator=(const OneShotServer&) = delete;

  std::string url() const {
    return "http://" + ToString(LocalAddress(listen_fd_));
  }
  /// Waits until all answers are sent.
  /// @return The requests received.
  const std::vector<std::string>& Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return requests_;
  }

 private:
  static void WaitReadable(int fd) {
    pollfd entry = {fd, POLLIN, 0};
    poll(&entry, 1, -1);
  }

  void Run() {
    for (const std::string& answer : answers_) {
      WaitReadable(listen_fd_);
      const int fd = AcceptTcp(listen_fd_);
      std::string request;
      std::array<char, 4096> buffer;
      // In these tests a request body ends with "}\n".
      while (!request.ends_with("\r\n\r\n") && !request.ends_with("}\n")) {
        WaitReadable(fd);
        const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
          break;
        }
        request.append(buffer.data(), static_cast<size_t>(size));
        if (request.ends_with("\r\n\r\n") && request.starts_with("POST")) {
          // The body is received separately after the headers.
          WaitReadable(fd);
          const ssize_t more = recv(fd, buffer.data(), buffer.size(), 0);
          request.append(buffer.data(),
                         static_cast<size_t>(std::max<ssize_t>(more, 0)));
        }
      }
      requests_.push_back(request);
      send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      close(fd);
    }
  }

  const int listen_fd_;
  const std::vector<std::string> answers_;
  std::vector<std::string> requests_;
  std::thread thread_;
};

// Guards against requests without the credential, and against losing the status
// of an answer.
TEST(AdminClientTest, SendsTheCredentialAndReadsTheAnswer) {
  OneShotServer server(
      {"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"});
  AdminClient client(server.url(), "s3cret");
  const AdminResponse response =
      client.Call({"POST", "/admin/v1/settings", "{\"a\":1}\n"});
  EXPECT_EQ(response.outcome, AdminOutcome::kAnswered);
  EXPECT_EQ(response.status, 409);
  EXPECT_EQ(response.body, "{}");
  const std::string request = server.Join().at(0);
  EXPECT_EQ(request.find("POST /admin/v1/settings HTTP/1.1\r\n"), 0U);
  EXPECT_NE(request.find("Authorization: Bearer s3cret\r\n"),
            std::string::npos);
  EXPECT_NE(request.find("\r\n\r\n{\"a\":1}\n"), std::string::npos);
}

// Guards against a malformed answer that is shown as the VM's.
TEST(AdminClientTest, MalformedAnswerIsLost) {
  for (const auto& answers :
       {AnswersWithMalformedStatus(), AnswersWithMalformedHeader(),
        AnswersWithMalformedFraming()}) {
    for (const std::string& answer : answers) {
      OneShotServer server({answer});
      AdminClient client(server.url(), "s");
      const AdminResponse response = client.Call({"GET", "/x", ""});
      EXPECT_EQ(response.outcome, AdminOutcome::kAnswerLost) << answer;
      EXPECT_EQ(response.status, 0) << answer;
      EXPECT_NE(response.error, "") << answer;
    }
  }
}

// Guards against a change shown as made on a part of an answer: the connection
// is reset behind an answer without a length while the change is still being
// written.
TEST(AdminClientTest, EarlyAnswerThatIsResetIsLost) {
  AnsweringListener listener({"HTTP/1.1 200 OK\r\n\r\n{}"},
                             AnsweringListener::Manner::kEarlyThenReset);
  AdminClient client(listener.Url(), "s");
  const AdminResponse response =
      client.Call({"POST", "/x", std::string(64 << 20, ' ')});
  EXPECT_EQ(response.outcome, AdminOutcome::kAnswerLost);
  EXPECT_EQ(response.status, 0);
}

// Guards against treating a request that no VM received as possibly executed,
// or the other way round: only a request that may have been executed is sent
// again.
TEST(AdminClientTest, DistinguishesLostAnswersFromUnsentRequests) {
  OneShotServer server({"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"});
  AdminClient client(server.url(), "s");
  EXPECT_EQ(client.Call({"GET", "/x", ""}).outcome, AdminOutcome::kAnswerLost);
  EXPECT_EQ(client.Call({"GET", "/x", ""}).outcome, AdminOutcome::kAnswerLost);
  server.Join();
  // Nothing listens on the port once its socket is closed.
  const int fd = *ListenTcp({"127.0.0.1", 0});
  AdminClient unreachable("http://" + ToString(LocalAddress(fd)), "s");
  close(fd);
  EXPECT_EQ(unreachable.Call({"GET", "/x", ""}).outcome,
            AdminOutcome::kNotSent);
}

}  // namespace
}  // namespace camphorsail::ctl
