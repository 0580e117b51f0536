#ifndef CAMPHORSAIL_HTTP_ANSWER_HEAD_CALLBACK_H_
#define CAMPHORSAIL_HTTP_ANSWER_HEAD_CALLBACK_H_

#include <curl/curl.h>

#include <string>

#include "camphorsail/http/answer_head_validator.h"

namespace camphorsail {

/// Makes a transfer of libcurl fail at the first line of the answer's head that
/// is not valid.
/// @param validator New for each transfer; must outlive it.
inline void ValidateAnswerHead(CURL* easy, AnswerHeadValidator* validator) {
  const auto on_line = [](char* line, size_t size, size_t count,
                          void* cls) -> size_t {
    return static_cast<AnswerHeadValidator*>(cls)->Append({line, size * count})
               ? size * count
               : 0;
  };
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION,
                   static_cast<curl_write_callback>(on_line));
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, validator);
}

/// @return Why a transfer failed.
inline std::string FailureReason(CURLcode code,
                                 const AnswerHeadValidator& validator) {
  return validator.error().empty() ? curl_easy_strerror(code)
                                   : std::string(validator.error());
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ANSWER_HEAD_CALLBACK_H_
