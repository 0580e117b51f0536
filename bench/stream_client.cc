#include "bench/stream_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cinttypes>
#include <cstdio>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/monotonic_clock.h"

namespace camphorsail {
namespace {

constexpr char kEnd[] = "\r\n0\r\n\r\n";
constexpr size_t kEndBytes = sizeof(kEnd) - 1;
// An answer that has not ended by then has failed.
constexpr absl::Duration kGiveUp = absl::Seconds(30);

int64_t CountEvents(const char* data, size_t size) {
  // Events of more than one read are counted by their first bytes.
  int64_t count = 0;
  for (size_t i = 0; i + 5 <= size; ++i) {
    if (data[i] == 'd' && std::string_view(data + i, 5) == "data:") {
      ++count;
    }
  }
  return count;
}

}  // namespace

StreamClient::StreamClient(uint16_t port, const std::string& model, int tokens)
    : port_(port), epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {
  const std::string body = absl::StrCat(
      R"({"stream":true,"model":")", model,
      R"(","messages":[{"role":"user","content":"length=)", tokens, R"("}]})");
  request_ = absl::StrCat(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
      "Authorization: Bearer bench-key\r\nContent-Type: application/json\r\n"
      "Content-Length: ",
      body.size(), "\r\n\r\n", body);
}

StreamClient::~StreamClient() {
  for (Connection& connection : connections_) {
    close(connection.fd);
  }
  close(epoll_fd_);
}

void StreamClient::Open(int streams) {
  connections_.resize(static_cast<size_t>(streams));
  for (size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = connections_[i];
    connection.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(connection.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(connection.fd, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      continue;
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = i;
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, connection.fd, &event);
    Send(&connection);
  }
}

void StreamClient::Send(Connection* connection) {
  connection->sent = MonotonicNow();
  connection->first = true;
  connection->open = true;
  connection->tail.clear();
  ++open_;
  (void)!send(connection->fd, request_.data(), request_.size(), MSG_NOSIGNAL);
}

StreamClient::Result StreamClient::Run(absl::Duration duration) {
  Result result;
  const MonoTime start = MonotonicNow();
  const MonoTime stop = start + duration;
  std::array<epoll_event, 256> events;
  while (open_ > 0 && MonotonicNow() < stop + kGiveUp) {
    const int count = epoll_wait(epoll_fd_, events.data(),
                                 static_cast<int>(events.size()), 100);
    for (int i = 0; i < count; ++i) {
      Read(&connections_[events[i].data.u64], stop, &result);
    }
  }
  result.failures += open_;
  result.elapsed = MonotonicNow() - start;
  return result;
}

void StreamClient::Read(Connection* connection, MonoTime stop, Result* result) {
  std::array<char, 16 * 1024> buffer;
  const ssize_t got = recv(connection->fd, buffer.data(), buffer.size(), 0);
  if (got <= 0) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, connection->fd, nullptr);
    if (connection->open) {
      connection->open = false;
      --open_;
      ++result->failures;
    }
    return;
  }
  const auto size = static_cast<size_t>(got);
  result->events += CountEvents(buffer.data(), size);
  connection->tail.append(buffer.data(), size);
  if (connection->first &&
      connection->tail.find("\"id\":\"") != std::string::npos) {
    connection->first = false;
    RecordFirst(*connection, connection->tail, result);
  }
  if (!connection->first && connection->tail.size() > kEndBytes) {
    connection->tail.erase(0, connection->tail.size() - kEndBytes);
  }
  if (connection->tail == kEnd) {
    ++result->requests;
    connection->open = false;
    --open_;
    if (MonotonicNow() < stop) {
      Send(connection);
    }
  }
}

void StreamClient::RecordFirst(const Connection& connection,
                               const std::string& data,
                               Result* result) {
  const MonoTime now = MonotonicNow();
  int64_t arrival = 0;
  int64_t first = 0;
  const size_t position = data.find("\"id\":\"engine-");
  if (position == std::string::npos ||
      std::sscanf(data.c_str() + position,
                  "\"id\":\"engine-%*u-%" SCNd64 "-%" SCNd64, &arrival,
                  &first) != 2) {
    ++result->failures;
    return;
  }
  const int64_t nanos =
      (arrival - connection.sent.nanos()) + (now.nanos() - first);
  result->transit_ms.push_back(static_cast<double>(nanos) / 1e6);
}

}  // namespace camphorsail
