#ifndef CAMPHORSAIL_ENTRY_LEDGER_CLOSE_ACTION_H_
#define CAMPHORSAIL_ENTRY_LEDGER_CLOSE_ACTION_H_

#include "camphorsail/base/ids.h"
#include "camphorsail/entry/ledger_outcome.h"

namespace camphorsail {

/// Asks the ledger to record how a non-idempotent request ended.
struct LedgerCloseAction {
  RequestId request;
  ClientAccountId account;
  IdempotencyKey key;
  LedgerOutcome outcome;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LEDGER_CLOSE_ACTION_H_
