#ifndef CAMPHORSAIL_BASE_ERROR_KIND_H_
#define CAMPHORSAIL_BASE_ERROR_KIND_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// All kinds of errors. `GetErrorTraits` describes the answer for each.
enum class ErrorKind : uint8_t {
  kInvalidRequest,
  kInvalidUtf8,
  kBodyTooLarge,
  kHeadersTooLarge,
  kRequestTimeout,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kMethodNotAllowed,
  kUnknownClass,
  kUnknownModel,
  kUnknownService,
  kAccountLimitExceeded,
  kOverloaded,
  kDeadlineUnreachable,
  kNoBackendServer,
  kNotReady,
  kLeaseExpired,
  kQuorumLost,
  kShuttingDown,
  kIdempotencyKeyReused,
  kIdempotencyKeyExpired,
  kOutcomeUnknown,
  kBackendFailed,
  kBackendTimeout,
  kStreamCut,
  kCallerGone,
  kRetryBudgetExhausted,
  kSettingsInvalid,
  kSettingsConflict,
  kSettingsTooLarge,
  kNotLeader,
  kDataCorrupt,
  kStorageFailed,
  kProtocolError,
  kInternal,
  kPromptPartSuspected,
  kPromptPartQuarantined,
};

/// Number of values of `ErrorKind`.
constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kPromptPartQuarantined) + 1;

/// Whether a backend server ran the request, as stated in an error answer.
enum class RequestWasRun : uint8_t { kNo, kYes, kUnknown };

/// Properties of the answer that is sent for one error kind.
struct ErrorTraits {
  /// Value of `error.code` in the JSON answer.
  std::string_view code;
  /// HTTP status code.
  int http_status;
  RequestWasRun request_was_run;
  /// True when the same request may succeed later.
  bool retry_helps;
  /// True when the error marks the minute as refused for the account and class.
  bool counts_as_refused;
};

/// @param kind Any value of `ErrorKind`.
/// @return The properties of answers with this kind of error.
const ErrorTraits& GetErrorTraits(ErrorKind kind);

/// @return `no`, `yes` or `unknown`, as written in answers.
std::string_view ToString(RequestWasRun value);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_ERROR_KIND_H_
