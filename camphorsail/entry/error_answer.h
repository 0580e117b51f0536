#ifndef CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_
#define CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/base/request_id_text.h"

namespace camphorsail {

/// Builds the JSON body of an error answer. `GetErrorTraits` supplies the code
/// and `request_was_run` of the error kind.
///
/// @param error The error to report.
/// @param request The request that is answered.
/// @return The body.
std::string ErrorAnswerBody(const Error& error, RequestId request);

/// Builds the JSON body of an error answer.
///
/// @param error The error to report.
/// @param request_id Text of the request id, copied into the body unchanged.
/// @return The body.
std::string ErrorAnswerBody(const Error& error, const std::string& request_id);

/// @return The value of the `Retry-After` header in whole seconds, at least 1;
///     zero when a retry would not help, so that no header is sent.
int RetryAfterSeconds(const Error& error);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_
