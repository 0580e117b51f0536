#include "camphorsail/base/error_kind.h"

#include <array>
#include <cassert>

namespace camphorsail {
namespace {

constexpr RequestWasRun kNo = RequestWasRun::kNo;
constexpr RequestWasRun kYes = RequestWasRun::kYes;
constexpr RequestWasRun kUnknown = RequestWasRun::kUnknown;

// Rows are in the order of ErrorKind. Errors that the caller causes do not mark
// the minute as refused.
constexpr std::array<ErrorTraits, kErrorKindCount> kErrorTable = {{
    {"invalid_request", 400, kNo, false, false},
    {"invalid_utf8", 400, kNo, false, false},
    {"body_too_large", 413, kNo, false, false},
    {"headers_too_large", 431, kNo, false, false},
    {"request_timeout", 408, kNo, true, false},
    {"unauthenticated", 401, kNo, false, false},
    {"forbidden", 403, kNo, false, false},
    {"not_found", 404, kNo, false, false},
    {"method_not_allowed", 405, kNo, false, false},
    {"unknown_class", 400, kNo, false, false},
    {"unknown_model", 404, kNo, false, false},
    {"unknown_service", 404, kNo, false, false},
    {"account_limit_exceeded", 429, kNo, true, true},
    {"overloaded", 503, kNo, true, true},
    {"deadline_unreachable", 503, kNo, true, true},
    {"no_backend_server", 503, kNo, true, true},
    {"not_ready", 503, kNo, true, true},
    {"lease_expired", 503, kNo, true, true},
    {"quorum_lost", 503, kNo, true, true},
    {"shutting_down", 503, kNo, true, true},
    {"idempotency_key_reused", 422, kNo, false, false},
    {"idempotency_key_expired", 409, kNo, false, false},
    {"outcome_unknown", 409, kUnknown, false, true},
    {"backend_failed", 502, kUnknown, true, true},
    {"backend_timeout", 504, kUnknown, true, true},
    {"stream_cut", 502, kYes, true, true},
    {"caller_gone", 499, kUnknown, false, false},
    {"retry_budget_exhausted", 503, kUnknown, true, true},
    {"settings_invalid", 400, kNo, false, false},
    {"settings_conflict", 409, kNo, false, false},
    {"settings_too_large", 413, kNo, false, false},
    {"not_leader", 503, kNo, true, false},
    {"data_corrupt", 500, kUnknown, false, true},
    {"storage_failed", 500, kUnknown, false, true},
    {"protocol_error", 502, kUnknown, false, true},
    {"internal", 500, kUnknown, false, true},
    {"prompt_part_suspected", 503, kNo, true, true},
    {"prompt_part_quarantined", 503, kNo, false, true},
}};

}  // namespace

const ErrorTraits& GetErrorTraits(ErrorKind kind) {
  const auto index = static_cast<size_t>(kind);
  assert(index < kErrorTable.size());
  return kErrorTable[index];
}

std::string_view ToString(RequestWasRun value) {
  switch (value) {
    case RequestWasRun::kNo:
      return "no";
    case RequestWasRun::kYes:
      return "yes";
    case RequestWasRun::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace camphorsail
