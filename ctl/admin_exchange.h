#ifndef CTL_ADMIN_EXCHANGE_H_
#define CTL_ADMIN_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>

namespace camphorsail::ctl {

/// One call of the admin API.
struct AdminRequest {
  /// `GET` or `POST`.
  std::string method;
  /// Path and query.
  std::string target;
  /// JSON text; empty for `GET`.
  std::string body;
};

/// How a call ended.
enum class AdminOutcome : uint8_t {
  kAnswered,
  /// No connection was established, so the VM has not received the request.
  kNotSent,
  /// The connection failed after it was established, so the VM may have
  /// executed the request.
  kAnswerLost,
};

/// The result of one call of the admin API.
struct AdminResponse {
  AdminOutcome outcome = AdminOutcome::kNotSent;
  /// HTTP status; 0 when there is no answer.
  int status = 0;
  std::string body;
  /// Description of the failure when there is no answer.
  std::string error;
};

/// Executes a call: `AdminClient::Call`, or a fake in tests.
using AdminCall = std::function<AdminResponse(const AdminRequest&)>;

}  // namespace camphorsail::ctl

#endif  // CTL_ADMIN_EXCHANGE_H_
