#ifndef CAMPHORSAIL_ENTRY_LEDGER_OUTCOME_H_
#define CAMPHORSAIL_ENTRY_LEDGER_OUTCOME_H_

#include <cstdint>
#include <string>

namespace camphorsail {

/// How a non-idempotent request ended, as recorded in the ledger.
struct LedgerOutcome {
  enum class Kind : uint8_t {
    /// The request was answered; the other fields hold the answer.
    kCompleted,
    /// No backend server ran the request, so that a later request with the same
    /// key may run.
    kNotRun,
    /// The request was sent and its outcome is not known. A repeat is answered
    /// with `ErrorKind::kOutcomeUnknown`.
    kUnknown,
  };
  Kind kind = Kind::kCompleted;
  /// HTTP status of the answer.
  int status = 0;
  std::string content_type;
  /// Body of the answer; at most `kMaxLedgerBodyBytes`.
  std::string body;
  /// True when the answer exceeded `kMaxLedgerBodyBytes`; `body` is empty then.
  bool body_truncated = false;
};

/// Maximum size of an answer body that the ledger keeps, in bytes.
constexpr size_t kMaxLedgerBodyBytes = 64 * 1024;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LEDGER_OUTCOME_H_
