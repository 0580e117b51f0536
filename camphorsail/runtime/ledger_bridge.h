#ifndef CAMPHORSAIL_RUNTIME_LEDGER_BRIDGE_H_
#define CAMPHORSAIL_RUNTIME_LEDGER_BRIDGE_H_

#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/entry/ledger_answer.h"
#include "camphorsail/entry/ledger_close_action.h"
#include "camphorsail/entry/ledger_open_action.h"
#include "camphorsail/ledger/ledger_types.h"

namespace camphorsail {

/// @param action The request of the request path.
/// @param vm This VM.
/// @return The operation for the replicated ledger.
LedgerOpen MakeLedgerOpen(const LedgerOpenAction& action,
                          const VmId& vm,
                          absl::Time wall_now);

/// @return The operation for the replicated ledger; nothing when the outcome is
/// not known, because the record then stays open and repeated requests are
/// answered with `unknown`.
std::optional<LedgerClose> MakeLedgerClose(const LedgerCloseAction& action);

/// @return The answer for the request path.
LedgerAnswer MakeLedgerAnswer(const LedgerOpenAnsweredAction& action);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_LEDGER_BRIDGE_H_
