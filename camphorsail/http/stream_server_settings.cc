#include "camphorsail/http/stream_server_settings.h"

#include <arpa/inet.h>

namespace camphorsail {

Expected<void> StreamServerSettings::Validate() const {
  in_addr parsed;
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
    return Fail(ErrorKind::kSettingsInvalid,
                "address must be a numeric IPv4 address");
  }
  if (threads < 1 || threads > 256) {
    return Fail(ErrorKind::kSettingsInvalid, "threads must be 1 to 256");
  }
  if (max_connections < threads || max_connections > 1'000'000) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        "max_connections must be from the number of threads to 1000000");
  }
  if (max_body_bytes == 0 || max_total_body_bytes == 0 ||
      max_header_bytes == 0 || idle_timeout < absl::Seconds(1)) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        "max_body_bytes, max_total_body_bytes and max_header_bytes must be "
        "above 0 and idle_timeout at least 1 s");
  }
  return {};
}

}  // namespace camphorsail
