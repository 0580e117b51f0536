#include "camphorsail/gateway/connect_check.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "camphorsail/net/tcp_socket.h"

namespace camphorsail {

ConnectCheck::ConnectCheck(const std::string& source_ip,
                           const NetworkAddress& address,
                           absl::Duration timeout,
                           EventLoop* loop,
                           Done done)
    : loop_(loop), done_(std::move(done)) {
  const Expected<int> fd = ConnectTcp(source_ip, address);
  if (!fd) {
    const Result result = fd.error().kind == ErrorKind::kNoBackendServer
                              ? Result::kRefused
                              : Result::kUnknown;
    timer_ = loop_->RunAt(loop_->now(), [this, result] { Finish(result); });
    return;
  }
  fd_ = *fd;
  watch_ = loop_->Watch(
      fd_, EPOLLOUT, [this](uint32_t) { OnConnected(); }, LoopSource::kBackend);
  timer_ = loop_->RunAt(loop_->now() + timeout,
                        [this] { Finish(Result::kUnknown); });
}

ConnectCheck::~ConnectCheck() {
  Close();
}

void ConnectCheck::OnConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  Finish(error == 0              ? Result::kAccepted
         : error == ECONNREFUSED ? Result::kRefused
                                 : Result::kUnknown);
}

void ConnectCheck::Finish(Result result) {
  Close();
  // The owner may destroy this object in the call.
  const Done done = std::exchange(done_, {});
  done(result);
}

void ConnectCheck::Close() {
  loop_->Cancel(timer_);
  if (fd_ >= 0) {
    loop_->Unwatch(watch_);
    close(std::exchange(fd_, -1));
  }
}

}  // namespace camphorsail
