#ifndef CAMPHORSAIL_ENTRY_LEDGER_OPEN_ACTION_H_
#define CAMPHORSAIL_ENTRY_LEDGER_OPEN_ACTION_H_

#include <string>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Asks the ledger for permission to send a non-idempotent request once.
struct LedgerOpenAction {
  RequestId request;
  ClientAccountId account;
  /// The caller's idempotency key; the request id when the caller gave none.
  IdempotencyKey key;
  /// Lower-case hexadecimal SHA-256 of method, path and body.
  std::string digest;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LEDGER_OPEN_ACTION_H_
