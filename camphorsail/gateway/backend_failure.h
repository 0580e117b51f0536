#ifndef CAMPHORSAIL_GATEWAY_BACKEND_FAILURE_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_FAILURE_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// Why an exchange with a backend server ended without a whole answer.
enum class BackendFailure : uint8_t {
  /// The connection was not established; nothing was sent.
  kNotConnected,
  /// The connection ended before a whole answer.
  kBroken,
  /// What came is no answer to this request.
  kProtocol,
};

/// @return For example `not_connected`, for logs.
constexpr std::string_view ToString(BackendFailure failure) {
  switch (failure) {
    case BackendFailure::kNotConnected:
      return "not_connected";
    case BackendFailure::kBroken:
      return "broken";
    case BackendFailure::kProtocol:
      return "protocol";
  }
  return "";
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_FAILURE_H_
