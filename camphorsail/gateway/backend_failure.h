#ifndef CAMPHORSAIL_GATEWAY_BACKEND_FAILURE_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_FAILURE_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// Reason why an attempt on a backend server ended without a complete answer.
enum class BackendFailure : uint8_t {
  /// The connection was not established; nothing was sent.
  kNotConnected,
  /// The connection ended before the answer was complete.
  kBroken,
  /// The received data is not a valid answer to this request.
  kProtocol,
};

/// @return The name of the failure in logs and metrics, such as
/// `not_connected`.
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
