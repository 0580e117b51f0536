#ifndef CAMPHORSAIL_BASE_REQUEST_ID_TEXT_H_
#define CAMPHORSAIL_BASE_REQUEST_ID_TEXT_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// @return The request id as written in `X-Request-Id`, error answers, logs and
/// the timeline: 16 hexadecimal digits, or an empty string for zero.
std::string FormatRequestId(RequestId request);

/// @param text Up to 16 hexadecimal digits; an empty text gives zero.
/// @return The request id. Error: `kInvalidRequest`.
Expected<RequestId> ParseRequestId(const std::string& text);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_REQUEST_ID_TEXT_H_
