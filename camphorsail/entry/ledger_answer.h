#ifndef CAMPHORSAIL_ENTRY_LEDGER_ANSWER_H_
#define CAMPHORSAIL_ENTRY_LEDGER_ANSWER_H_

#include <cstdint>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/entry/ledger_outcome.h"

namespace camphorsail {

/// The ledger's answer to a `LedgerOpenAction`.
struct LedgerAnswer {
  enum class Kind : uint8_t {
    /// The record is committed and this request may be sent once.
    kGranted,
    /// An earlier request with the same key completed; `outcome` is its answer.
    kRecorded,
    /// An earlier request with the same key was sent and its outcome is not
    /// known.
    kUnknown,
    /// No record was opened; `error` gives the reason.
    kError,
  };
  RequestId request;
  Kind kind = Kind::kError;
  LedgerOutcome outcome;
  Error error;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LEDGER_ANSWER_H_
