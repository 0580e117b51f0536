#include "camphorsail/http/backend_client.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/http/answer_head_callback.h"

namespace camphorsail {
namespace {

constexpr long kConnectTimeoutMs = 2000;
// Size of libcurl's receive buffer for a transfer. Together with the shard's
// limit for bytes that the caller has not consumed, it keeps the memory of a
// stream below 64 KiB.
constexpr long kReadBytes = 8 * 1024;
// A transfer is aborted after this time without a transferred byte. It is
// longer than the target time of every request class for a complete answer.
constexpr long kNoProgressTimeoutSeconds = 300;
// Idle connections that are kept for reuse.
constexpr long kMaxIdleConnections = 1024;

constexpr char kContentCoding[] = "the answer has a content coding";

// Sets up libcurl's global state, once, before any thread uses it.
void InitializeCurl() {
  static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)done;
}

}  // namespace

BackendClient::BackendClient(std::function<void(EntryEvent)> sink)
    : sink_(std::move(sink)),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  InitializeCurl();
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_fd_;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
  thread_ = std::thread([this] { Run(); });
}

BackendClient::~BackendClient() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  const uint64_t one = 1;
  (void)!write(wake_fd_, &one, sizeof(one));
  thread_.join();
  curl_multi_cleanup(multi_);
  close(wake_fd_);
  close(epoll_fd_);
}

void BackendClient::Push(Command command) {
  bool wake = false;
  {
    absl::MutexLock lock(&mutex_);
    commands_.push_back(std::move(command));
    wake = !std::exchange(wake_pending_, true);
  }
  if (wake) {
    const uint64_t one = 1;
    (void)!write(wake_fd_, &one, sizeof(one));
  }
}

void BackendClient::Start(BackendCall call) {
  const AttemptId attempt = call.attempt;
  Push({Command::Kind::kStart, attempt, std::move(call), EntryTickEvent{}});
}

void BackendClient::Cancel(const AttemptId& attempt) {
  Push({Command::Kind::kCancel, attempt, {}, EntryTickEvent{}});
}

void BackendClient::SetPaused(const AttemptId& attempt, bool paused) {
  Push({paused ? Command::Kind::kPause : Command::Kind::kResume,
        attempt,
        {},
        EntryTickEvent{}});
}

void BackendClient::Post(EntryEvent event) {
  Push({Command::Kind::kPost, {}, {}, std::move(event)});
}

void BackendClient::Run() {
  std::array<epoll_event, 128> events;
  int running = 0;
  while (RunCommands()) {
    CollectFinishedTransfers();
    int timeout_ms = -1;
    if (timer_ != MonoTime::Infinite()) {
      const absl::Duration left = timer_ - MonotonicNow();
      timeout_ms = static_cast<int>(std::clamp<int64_t>(
          absl::ToInt64Milliseconds(left + absl::Microseconds(999)), 0,
          60'000));
    }
    const int count = epoll_wait(epoll_fd_, events.data(),
                                 static_cast<int>(events.size()), timeout_ms);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.fd == wake_fd_) {
        continue;
      }
      const uint32_t ready_events = events[i].events;
      const int what =
          ((ready_events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
          ((ready_events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
          ((ready_events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action(multi_, events[i].data.fd, what, &running);
    }
    if (MonotonicNow() >= timer_) {
      timer_ = MonoTime::Infinite();
      curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    CollectFinishedTransfers();
  }
  while (!transfers_.empty()) {
    RemoveTransfer(transfers_.begin()->second.get());
  }
}

bool BackendClient::RunCommands() {
  std::vector<Command> commands;
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return false;
    }
    commands.swap(commands_);
    wake_pending_ = false;
  }
  if (!commands.empty()) {
    uint64_t count = 0;
    (void)!read(wake_fd_, &count, sizeof(count));
  }
  for (Command& command : commands) {
    if (command.kind == Command::Kind::kStart) {
      StartTransfer(std::move(command.call));
      continue;
    }
    if (command.kind == Command::Kind::kPost) {
      sink_(std::move(command.event));
      continue;
    }
    const auto found = transfers_.find(command.attempt.request);
    if (found == transfers_.end() ||
        found->second->call.attempt != command.attempt) {
      continue;
    }
    Transfer* transfer = found->second.get();
    if (command.kind == Command::Kind::kCancel) {
      RemoveTransfer(transfer);
      continue;
    }
    transfer->paused = command.kind == Command::Kind::kPause;
    // Delivers the bytes that arrived while the transfer was paused.
    curl_easy_pause(transfer->easy,
                    transfer->paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  }
  return true;
}

void BackendClient::StartTransfer(BackendCall call) {
  const RequestId request = call.attempt.request;
  if (const auto old = transfers_.find(request); old != transfers_.end()) {
    // An earlier attempt has delivered its answer, but its transfer is still
    // reading the end of the HTTP framing.
    RemoveTransfer(old->second.get());
  }
  auto owned = std::make_unique<Transfer>();
  Transfer* transfer = owned.get();
  transfer->client = this;
  transfer->call = std::move(call);
  // A reused handle would keep a pointer to the last header of its previous
  // answer. libcurl frees that header, and uses it when the next answer begins
  // with a continued line.
  transfer->easy = curl_easy_init();
  const BackendCall& sent = transfer->call;
  const std::string content_type =
      "Content-Type: " +
      (sent.content_type.empty() ? "application/json" : sent.content_type);
  transfer->headers = curl_slist_append(nullptr, content_type.c_str());
  // Without this header libcurl waits for "100 Continue" before it sends larger
  // bodies.
  transfer->headers = curl_slist_append(transfer->headers, "Expect:");
  // The caller does not learn of a content coding.
  transfer->headers =
      curl_slist_append(transfer->headers, "Accept-Encoding: identity");
  CURL* easy = transfer->easy;
  curl_easy_setopt(easy, CURLOPT_URL, sent.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  // Sends the path as the caller wrote it; libcurl must not resolve ".." in it.
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(sent.body.size()));
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sent.body.data());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  // Aborts transfers that no longer receive bytes, such as those whose answer
  // is complete but whose connection the server keeps open.
  curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, kNoProgressTimeoutSeconds);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReadBytes);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  ValidateAnswerHead(easy, &transfer->head_validator);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  // libcurl sends a request again by itself when a reused connection closes
  // before the answer, although the server may have run the request. A new
  // connection for requests that are not idempotent prevents this.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, sent.idempotent ? 0L : 1L);
  transfers_[request] = std::move(owned);
  curl_multi_add_handle(multi_, easy);
}

void BackendClient::ReportHeaders(Transfer* transfer) {
  if (std::exchange(transfer->headers_reported, true)) {
    return;
  }
  long status = 0;
  const char* content_type = nullptr;
  curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE, &content_type);
  sink_(BackendHeadersEvent{transfer->call.attempt, static_cast<int>(status),
                            content_type == nullptr ? "" : content_type});
}

size_t BackendClient::OnData(char* data, size_t size, size_t count, void* cls) {
  auto* transfer = static_cast<Transfer*>(cls);
  if (transfer->paused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  if (transfer->head_validator.has_content_coding()) {
    return 0;
  }
  transfer->client->ReportHeaders(transfer);
  transfer->client->sink_(BackendDataEvent{transfer->call.attempt,
                                           std::string(data, size * count)});
  return size * count;
}

void BackendClient::CollectFinishedTransfers() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    char* cls = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &cls);
    auto* transfer = reinterpret_cast<Transfer*>(cls);
    const AttemptId attempt = transfer->call.attempt;
    if (code == CURLE_OK) {
      ReportHeaders(transfer);
      RemoveTransfer(transfer);
      sink_(BackendEndEvent{attempt});
      continue;
    }
    // libcurl sets this time when the connection is ready, before it sends the
    // first byte of the request.
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_PRETRANSFER_TIME_T,
                      &pretransfer_us);
    const bool not_sent =
        code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT ||
        (code == CURLE_OPERATION_TIMEDOUT && pretransfer_us == 0);
    std::string reason = transfer->head_validator.has_content_coding()
                             ? kContentCoding
                             : FailureReason(code, transfer->head_validator);
    RemoveTransfer(transfer);
    sink_(BackendFailureEvent{attempt, !not_sent, std::move(reason)});
  }
}

void BackendClient::RemoveTransfer(Transfer* transfer) {
  curl_multi_remove_handle(multi_, transfer->easy);
  curl_slist_free_all(transfer->headers);
  curl_easy_cleanup(transfer->easy);
  transfers_.erase(transfer->call.attempt.request);
}

int BackendClient::OnSocket(CURL* /*easy*/,
                            curl_socket_t fd,
                            int what,
                            void* cls,
                            void* socket_state) {
  auto* self = static_cast<BackendClient*>(cls);
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(self->epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    return 0;
  }
  epoll_event event{};
  event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                 ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  event.data.fd = fd;
  // `socket_state` is null until the socket has been added to the epoll set.
  const int operation = socket_state == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(self->epoll_fd_, operation, fd, &event);
  curl_multi_assign(self->multi_, fd, self);
  return 0;
}

int BackendClient::OnTimer(CURLM* /*multi*/, long timeout_ms, void* cls) {
  auto* self = static_cast<BackendClient*>(cls);
  self->timer_ = timeout_ms < 0
                     ? MonoTime::Infinite()
                     : MonotonicNow() + absl::Milliseconds(timeout_ms);
  return 0;
}

}  // namespace camphorsail
