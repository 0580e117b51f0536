#ifndef CAMPHORSAIL_HTTP_STREAM_SERVER_SETTINGS_H_
#define CAMPHORSAIL_HTTP_STREAM_SERVER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"

namespace camphorsail {

/// Address and limits of one listener. Checked once by `Validate`.
struct StreamServerSettings {
  /// Numeric IPv4 address.
  std::string address = "127.0.0.1";
  /// Zero picks a free port.
  uint16_t port = 0;
  int threads = 2;
  int max_connections = 4096;
  size_t max_body_bytes = 4 * 1024 * 1024;
  /// Limit of the total size of the bodies of all open exchanges; further
  /// bodies are refused.
  size_t max_total_body_bytes = 256 * 1024 * 1024;
  /// Limit of the total size of the request target and of the headers' names
  /// and values. Headers above the connection's memory of 16 KiB are refused by
  /// libmicrohttpd with its own 431 page.
  size_t max_header_bytes = 8 * 1024;
  /// A connection on which no bytes were sent or received for this time is
  /// closed.
  absl::Duration idle_timeout = absl::Seconds(30);

  /// @return Nothing, or `kSettingsInvalid`.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_STREAM_SERVER_SETTINGS_H_
