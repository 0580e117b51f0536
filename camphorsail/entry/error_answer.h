#ifndef CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_
#define CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/base/request_id_text.h"

namespace camphorsail {

/// @param error Any error; the table of error kinds gives code and
///     `request_was_run`.
/// @param request The request that is answered.
/// @return The JSON body of the error answer.
std::string ErrorAnswerBody(const Error& error, RequestId request);

/// @param request_id As the caller wrote it.
std::string ErrorAnswerBody(const Error& error, const std::string& request_id);

/// @return The value of `Retry-After` in whole seconds, at least 1; zero when a
///     retry does not help.
int RetryAfterSeconds(const Error& error);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ERROR_ANSWER_H_
