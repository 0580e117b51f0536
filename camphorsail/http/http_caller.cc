#include "camphorsail/http/http_caller.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/http/answer_head_callback.h"

namespace camphorsail {
namespace {

/// Longest wait of the thread in milliseconds; `Post` wakes it earlier.
constexpr int kMaxPollMs = 1000;
/// Without it libcurl may wait for a "100 Continue" and send the request a
/// second time after a 417.
constexpr char kNoExpectHeader[] = "Expect:";

}  // namespace

HttpCaller::HttpCaller(size_t max_answer_bytes)
    : max_answer_bytes_(max_answer_bytes) {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  multi_ = curl_multi_init();
  thread_ = std::thread([this] { Run(); });
}

HttpCaller::~HttpCaller() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  curl_multi_wakeup(multi_);
  thread_.join();
  for (const auto& [easy, transfer] : transfers_) {
    curl_multi_remove_handle(multi_, easy);
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(multi_);
}

void HttpCaller::Post(HttpCall call, Done done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->done = std::move(done);
  transfer->max_answer_bytes = max_answer_bytes_;
  {
    absl::MutexLock lock(&mutex_);
    waiting_.push_back(std::move(transfer));
  }
  curl_multi_wakeup(multi_);
}

void HttpCaller::Run() {
  while (true) {
    std::vector<std::unique_ptr<Transfer>> waiting;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      waiting.swap(waiting_);
    }
    for (std::unique_ptr<Transfer>& transfer : waiting) {
      Start(std::move(transfer));
    }
    int running = 0;
    curl_multi_perform(multi_, &running);
    int queued = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &queued)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
    curl_multi_poll(multi_, nullptr, 0, kMaxPollMs, nullptr);
  }
}

void HttpCaller::Start(std::unique_ptr<Transfer> transfer) {
  const HttpCall& call = transfer->call;
  const MonoTime now = MonotonicNow();
  if (now >= call.send_before || now >= call.deadline) {
    transfer->done(HttpCallResult());
    return;
  }
  for (const std::string& header : call.headers) {
    transfer->headers = curl_slist_append(transfer->headers, header.c_str());
  }
  transfer->headers = curl_slist_append(transfer->headers, kNoExpectHeader);
  CURL* const easy = curl_easy_init();
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(call.body.size()));
  curl_easy_setopt(
      easy, CURLOPT_TIMEOUT_MS,
      static_cast<long>(absl::ToInt64Milliseconds(call.deadline - now)) + 1);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  ValidateAnswerHead(easy, &transfer->head_validator);
  transfers_.emplace(easy, std::move(transfer));
  curl_multi_add_handle(multi_, easy);
}

int HttpCaller::OnSocket(void* transfer,
                         curl_socket_t socket,
                         curlsocktype /*purpose*/) {
  auto* const self = static_cast<Transfer*>(transfer);
  // Otherwise the kernel goes on to send data that is not acknowledged: after
  // the connection is closed, and while the process is suspended.
  const linger discard = {1, 0};
  const int unacknowledged_ms = static_cast<int>(std::max<int64_t>(
      1, absl::ToInt64Milliseconds(self->call.deadline - MonotonicNow())));
  const bool is_set =
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard)) ==
          0 &&
      setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
                 sizeof(unacknowledged_ms)) == 0;
  return is_set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

size_t HttpCaller::OnData(char* data,
                          size_t size,
                          size_t count,
                          void* transfer) {
  auto* const self = static_cast<Transfer*>(transfer);
  std::string& body = self->result.body;
  if (body.size() + size * count > self->max_answer_bytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

int HttpCaller::OnBeforeRequest(void* transfer,
                                char* /*primary_ip*/,
                                char* /*local_ip*/,
                                int /*primary_port*/,
                                int /*local_port*/) {
  auto* const self = static_cast<Transfer*>(transfer);
  // The process may have been stopped since the call was decided.
  if (MonotonicNow() >= std::min(self->call.send_before, self->call.deadline)) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->result.may_have_been_sent = true;
  return CURL_PREREQFUNC_OK;
}

void HttpCaller::Finish(CURL* easy, CURLcode code) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  const auto position = transfers_.find(easy);
  const std::unique_ptr<Transfer> transfer = std::move(position->second);
  transfers_.erase(position);
  curl_multi_remove_handle(multi_, easy);
  curl_easy_cleanup(easy);
  transfer->result.status = code == CURLE_OK ? static_cast<int>(status) : 0;
  transfer->done(std::move(transfer->result));
}

}  // namespace camphorsail
