#include "camphorsail/runtime/order_sender.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/http/json_body.h"
#include "camphorsail/orders/engine_json.h"

namespace camphorsail {
namespace {

/// Longest wait of the thread in milliseconds; `Call` wakes it earlier.
constexpr int kMaxPollMs = 1000;
/// The largest state has 256 artifacts of three names of 256 bytes.
constexpr size_t kMaxAnswerBytes = 512 * 1024;

std::optional<EngineObservation> ParseObservation(
    const EngineCallAction& action,
    const std::string& answer) {
  const Expected<nlohmann::json> body = ParseJsonBody(answer);
  if (!body) {
    return std::nullopt;
  }
  const nlohmann::json& json = *body;
  if (!json.is_object() || !json.contains("busy") ||
      !json.at("busy").is_boolean()) {
    return std::nullopt;
  }
  Expected<EngineState> state = ParseEngineState(json);
  if (!state) {
    return std::nullopt;
  }
  EngineObservation observation;
  observation.server = action.server;
  observation.incarnation = action.incarnation;
  observation.state = *std::move(state);
  observation.busy = json.at("busy").get<bool>();
  observation.token = action.token;
  return observation;
}

}  // namespace

OrderSender::OrderSender(Resolve resolve, Sink sink)
    : resolve_(std::move(resolve)), sink_(std::move(sink)) {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  multi_ = curl_multi_init();
  headers_ = curl_slist_append(nullptr, "Content-Type: application/json");
  thread_ = std::thread([this] { Run(); });
}

OrderSender::~OrderSender() {
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
  curl_slist_free_all(headers_);
}

void OrderSender::Call(EngineCallAction action) {
  {
    absl::MutexLock lock(&mutex_);
    calls_.push_back(std::move(action));
  }
  curl_multi_wakeup(multi_);
}

void OrderSender::Run() {
  while (true) {
    std::vector<EngineCallAction> calls;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      calls.swap(calls_);
    }
    for (EngineCallAction& call : calls) {
      Start(std::move(call));
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

void OrderSender::Start(EngineCallAction action) {
  const BackendAddress address = resolve_(action.server, action.incarnation);
  const MonoTime now = MonotonicNow();
  if (address.host_port.empty() || now >= action.send_before) {
    Report(action, /*has_ended=*/true, std::nullopt);
    return;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->action = std::move(action);
  transfer->body =
      (transfer->action.order.has_value()
           ? RenderOrder(*transfer->action.order)
           : RenderObserveRequest(transfer->action.token))
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  CURL* const easy = curl_easy_init();
  const std::string url = absl::StrCat("http://", address.host_port, "/orders");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_);
  // On a reused connection that the engine has closed, libcurl may send the
  // request a second time.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(transfer->body.size()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(absl::ToInt64Milliseconds(
                       transfer->action.deadline - now)));
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  transfers_.emplace(easy, std::move(transfer));
  curl_multi_add_handle(multi_, easy);
}

size_t OrderSender::OnData(char* data,
                           size_t size,
                           size_t count,
                           void* transfer) {
  std::string& answer = static_cast<Transfer*>(transfer)->answer;
  if (answer.size() + size * count > kMaxAnswerBytes) {
    return 0;
  }
  answer.append(data, size * count);
  return size * count;
}

int OrderSender::OnBeforeRequest(void* transfer,
                                 char* /*primary_ip*/,
                                 char* /*local_ip*/,
                                 int /*primary_port*/,
                                 int /*local_port*/) {
  auto* const self = static_cast<Transfer*>(transfer);
  // The process may have been stopped since the leader decided to send.
  if (MonotonicNow() >= self->action.send_before) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->may_have_been_sent = true;
  return CURL_PREREQFUNC_OK;
}

void OrderSender::Finish(CURL* easy, CURLcode code) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  const auto position = transfers_.find(easy);
  const std::unique_ptr<Transfer> transfer = std::move(position->second);
  transfers_.erase(position);
  curl_multi_remove_handle(multi_, easy);
  curl_easy_cleanup(easy);
  std::optional<EngineObservation> observation;
  if (code == CURLE_OK && status == 200 &&
      !transfer->action.order.has_value()) {
    observation = ParseObservation(transfer->action, transfer->answer);
  }
  Report(transfer->action, code == CURLE_OK || !transfer->may_have_been_sent,
         std::move(observation));
}

void OrderSender::Report(const EngineCallAction& action,
                         bool has_ended,
                         std::optional<EngineObservation> observation) {
  EngineCallResultEvent result;
  result.server = action.server;
  result.token = action.token;
  result.is_order = action.order.has_value();
  result.has_ended = has_ended;
  result.observation = std::move(observation);
  sink_(std::move(result));
}

}  // namespace camphorsail
