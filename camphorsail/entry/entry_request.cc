#include "camphorsail/entry/entry_request.h"

#include <utility>

namespace camphorsail {

Error CorrectErrorKind(const EntryRequest& request, Error error) {
  const RequestWasRun claimed = GetErrorTraits(error.kind).request_was_run;
  if (request.headers_sent) {
    error.kind = ErrorKind::kStreamCut;
  } else if (request.MayHaveRun()) {
    if (!request.headers.idempotent) {
      error.kind = ErrorKind::kOutcomeUnknown;
    } else if (claimed == RequestWasRun::kNo) {
      error.kind = ErrorKind::kBackendFailed;
    }
  } else if (claimed != RequestWasRun::kNo &&
             error.kind != ErrorKind::kInternal &&
             error.kind != ErrorKind::kCallerGone &&
             error.kind != ErrorKind::kOutcomeUnknown &&
             error.kind != ErrorKind::kStreamCut) {
    // This request cannot have run, so an error that claims otherwise is
    // replaced.
    // Exceptions: `kOutcomeUnknown` and `kStreamCut` come from the ledger here
    // and describe an earlier request with the same key. `kCallerGone` is kept
    // because the caller gets no answer and the minute does not count as
    // refused.
    error.kind = ErrorKind::kNoBackendServer;
  }
  return error;
}

}  // namespace camphorsail
