#include "camphorsail/gateway/caller_listener.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Interval at which the connections are checked for timeouts.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(500);

}  // namespace

Expected<std::unique_ptr<CallerListener>> CallerListener::Create(
    const NetworkAddress& address,
    EventLoop* loop,
    std::function<CallerLimits()> limits,
    const CallerBudgetSettings& budget,
    ByteAccount* answers,
    CallerHandlers handlers) {
  const Expected<int> fd = ListenTcp(address);
  if (!fd) {
    return tl::unexpected<Error>(fd.error());
  }
  return std::unique_ptr<CallerListener>(new CallerListener(
      *fd, loop, std::move(limits), budget, answers, std::move(handlers)));
}

CallerListener::CallerListener(int fd,
                               EventLoop* loop,
                               std::function<CallerLimits()> limits,
                               const CallerBudgetSettings& budget,
                               ByteAccount* answers,
                               CallerHandlers handlers)
    : fd_(fd),
      port_(LocalAddress(fd).port),
      loop_(loop),
      limits_(std::move(limits)),
      budget_(budget),
      answers_(answers),
      handlers_(std::move(handlers)) {
  handlers_.on_closed = [this, inner = std::move(handlers_.on_closed)](
                            CallerConnection* connection) {
    if (inner) {
      inner(connection);
    }
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
      // Destroyed in a later iteration of the event loop, because this function
      // is called by the connection itself.
      std::shared_ptr<CallerConnection> released = std::move(found->second);
      connections_.erase(found);
      loop_->Post([released] {});
    }
  };
  watch_ = loop_->Watch(
      fd_, EPOLLIN, [this](uint32_t) { Accept(); }, LoopSource::kListener);
  sweep_timer_ =
      loop_->RunAt(loop_->now() + kSweepInterval, [this] { Sweep(); });
}

CallerListener::~CallerListener() {
  loop_->Cancel(sweep_timer_);
  StopAccepting();
}

void CallerListener::Accept() {
  while (fd_ >= 0) {
    const int fd = AcceptTcp(fd_);
    if (fd < 0) {
      return;
    }
    if (!budget_.MayAccept(connections_.size())) {
      close(fd);
      ++rejected_connections_;
      LogEvent("caller_turned_away", LogLevel::kWarning)
          .Add("open", connections_.size());
      continue;
    }
    auto owned = std::make_unique<CallerConnection>(
        fd, loop_, &limits_, &budget_, answers_, &handlers_);
    CallerConnection* connection = owned.get();
    if (closing_after_next_answer_) {
      connection->CloseAfterNextAnswer();
    }
    connections_.emplace(connection, std::move(owned));
  }
}

void CallerListener::Sweep() {
  std::vector<CallerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [connection, owned] : connections_) {
    all.push_back(connection);
  }
  // A check may close the connection, which removes it from the map. The object
  // stays valid until a later iteration of the event loop.
  for (CallerConnection* connection : all) {
    connection->CheckTimeouts();
  }
  sweep_timer_ =
      loop_->RunAt(loop_->now() + kSweepInterval, [this] { Sweep(); });
}

size_t CallerListener::untaken_answers() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& item) { return item.first->untaken_bytes() > 0; }));
}

void CallerListener::CloseConnectionsWhenIdle() {
  std::vector<CallerConnection*> all;
  for (const auto& [connection, owned] : connections_) {
    all.push_back(connection);
  }
  for (CallerConnection* connection : all) {
    connection->CloseWhenIdle();
  }
}

void CallerListener::CloseConnectionsAfterNextAnswer() {
  closing_after_next_answer_ = true;
  for (const auto& [connection, owned] : connections_) {
    connection->CloseAfterNextAnswer();
  }
}

void CallerListener::StopAccepting() {
  // Closing the listening socket resets the connections that the kernel has
  // established but that were not accepted yet.
  Accept();
  if (fd_ >= 0) {
    loop_->Unwatch(watch_);
    close(std::exchange(fd_, -1));
  }
}

}  // namespace camphorsail
