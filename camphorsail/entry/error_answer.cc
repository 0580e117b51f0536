#include "camphorsail/entry/error_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace camphorsail {

std::string ErrorAnswerBody(const Error& error, RequestId request) {
  return ErrorAnswerBody(error, FormatRequestId(request));
}

std::string ErrorAnswerBody(const Error& error, const std::string& request_id) {
  const ErrorTraits& traits = GetErrorTraits(error.kind);
  nlohmann::ordered_json body;
  body["error"]["code"] = std::string(traits.code);
  body["error"]["message"] = error.message;
  body["error"]["request_was_run"] =
      std::string(ToString(traits.request_was_run));
  body["error"]["request_id"] = request_id;
  // Messages may quote bytes from the caller that are not valid UTF-8; these
  // are replaced.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

int RetryAfterSeconds(const Error& error) {
  if (!GetErrorTraits(error.kind).retry_helps) {
    return 0;
  }
  const double seconds = absl::ToDoubleSeconds(error.retry_after);
  return std::max(1, static_cast<int>(seconds + 0.999));
}

}  // namespace camphorsail
