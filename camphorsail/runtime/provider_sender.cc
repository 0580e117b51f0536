#include "camphorsail/runtime/provider_sender.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

/// The body of an answer is not used.
constexpr size_t kMaxAnswerBytes = 64 * 1024;

}  // namespace

ProviderSender::ProviderSender(const NetworkAddress& provider,
                               const ProviderDialect& dialect,
                               Sink sink)
    : base_url_(absl::StrCat("http://", ToString(provider))),
      dialect_(dialect),
      sink_(std::move(sink)),
      caller_(kMaxAnswerBytes) {}

void ProviderSender::Call(ProviderCall call) {
  ProviderRequest request = dialect_.write_request(call);
  HttpCall http;
  http.url = absl::StrCat(base_url_, request.path);
  http.headers = std::move(request.headers);
  http.body = std::move(request.body);
  http.send_before = call.send_before;
  http.deadline = call.deadline;
  caller_.Post(std::move(http),
               [this, call = std::move(call)](const HttpCallResult& result) {
                 sink_(call, OutcomeOf(result));
               });
}

ProviderOutcome ProviderSender::OutcomeOf(const HttpCallResult& result) const {
  if (!result.may_have_been_sent) {
    return ProviderOutcome::kNotSent;
  }
  return result.status == 0 ? ProviderOutcome::kUnknown
                            : dialect_.read_status(result.status);
}

}  // namespace camphorsail
