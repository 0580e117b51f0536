#include "ctl/admin_client.h"

#include <curl/curl.h>

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/http/answer_head_callback.h"

namespace camphorsail::ctl {
namespace {

constexpr long kConnectTimeoutMs = 3000;
/// Must cover a change, which waits up to 2 s for the leases of partitioned VMs
/// to expire.
constexpr long kTotalTimeoutMs = 30'000;
constexpr size_t kMaxResponseBytes = 64 << 20;

/// Write callback of libcurl; returning 0 aborts an answer that is too long.
size_t AppendBody(char* data, size_t size, size_t count, void* user_data) {
  auto* body = static_cast<std::string*>(user_data);
  const size_t bytes = size * count;
  if (body->size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  body->append(data, bytes);
  return bytes;
}

/// @return True for an error that occurs before any byte of the request is
/// sent.
bool IsErrorBeforeSending(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT || code == CURLE_SSL_CONNECT_ERROR;
}

}  // namespace

AdminClient::AdminClient(std::string url, std::string secret)
    : url_(std::move(url)), secret_(std::move(secret)) {}

AdminResponse AdminClient::Call(const AdminRequest& request) {
  AdminResponse response;
  AnswerHeadValidator head_validator;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(
      curl_easy_init(), curl_easy_cleanup);
  if (curl == nullptr) {
    response.error = "cannot initialize libcurl";
    return response;
  }
  const std::string url = absl::StrCat(url_, request.target);
  const std::string authorization =
      absl::StrCat("Authorization: Bearer ", secret_);
  curl_slist* list = curl_slist_append(nullptr, authorization.c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      list, curl_slist_free_all);
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_PROTOCOLS_STR, "http,https");
  // Ignores proxies set in the environment: the credential must not be sent to
  // them.
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, kTotalTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &response.body);
  ValidateAnswerHead(curl.get(), &head_validator);
  if (request.method == "POST") {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, request.body.c_str());
  }
  const CURLcode code = curl_easy_perform(curl.get());
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    response.outcome = AdminOutcome::kAnswered;
    response.status = static_cast<int>(status);
    return response;
  }
  double connect_seconds = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_CONNECT_TIME, &connect_seconds);
  // libcurl reports an unsupported protocol for a URL and for a status line.
  const bool never_connected = (code == CURLE_OPERATION_TIMEDOUT ||
                                code == CURLE_UNSUPPORTED_PROTOCOL) &&
                               connect_seconds == 0;
  response.outcome = IsErrorBeforeSending(code) || never_connected
                         ? AdminOutcome::kNotSent
                         : AdminOutcome::kAnswerLost;
  response.error = FailureReason(code, head_validator);
  return response;
}

}  // namespace camphorsail::ctl
