#include "camphorsail/base/request_id_text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace camphorsail {

std::string FormatRequestId(RequestId request) {
  return request.value() == 0 ? std::string()
                              : absl::StrFormat("%016x", request.value());
}

Expected<RequestId> ParseRequestId(const std::string& text) {
  if (text.empty()) {
    return RequestId();
  }
  const bool digits =
      text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  uint64_t value = 0;
  if (!digits || text.size() > 16 || !absl::SimpleHexAtoi(text, &value)) {
    return Fail(ErrorKind::kInvalidRequest,
                "a request id has up to 16 hexadecimal digits");
  }
  return RequestId(value);
}

}  // namespace camphorsail
