#include "camphorsail/gateway/error_reply.h"

#include "absl/strings/str_format.h"
#include "camphorsail/entry/error_answer.h"

namespace camphorsail {

ErrorReply MakeErrorReply(const Error& error,
                          const std::string& request_id,
                          const WireDialect& dialect) {
  const ErrorTraits& traits = GetErrorTraits(error.kind);
  ErrorReply reply;
  reply.status = traits.http_status;
  reply.headers.Add("Content-Type", "application/json");
  if (traits.retry_helps && traits.request_was_run == RequestWasRun::kNo &&
      error.retry_after > absl::ZeroDuration()) {
    reply.headers.Add(
        "Retry-After",
        absl::StrFormat("%.3f", absl::ToDoubleSeconds(error.retry_after)));
  }
  dialect.write_gateway_answer(request_id, &reply.headers);
  reply.body = ErrorAnswerBody(error, request_id);
  return reply;
}

}  // namespace camphorsail
