#ifndef CAMPHORSAIL_ENTRY_ENTRY_ACTION_H_
#define CAMPHORSAIL_ENTRY_ENTRY_ACTION_H_

#include <variant>

#include "camphorsail/entry/cancel_backend_call_action.h"
#include "camphorsail/entry/forward_scheduler_action.h"
#include "camphorsail/entry/ledger_close_action.h"
#include "camphorsail/entry/ledger_open_action.h"
#include "camphorsail/entry/pause_backend_call_action.h"
#include "camphorsail/entry/record_refusal_action.h"
#include "camphorsail/entry/send_data_action.h"
#include "camphorsail/entry/send_end_action.h"
#include "camphorsail/entry/send_headers_action.h"
#include "camphorsail/entry/start_backend_call_action.h"
#include "camphorsail/entry/timeline_action.h"

namespace camphorsail {

/// All actions that an `EntryShard` asks its owner to carry out.
using EntryAction = std::variant<StartBackendCallAction,
                                 CancelBackendCallAction,
                                 PauseBackendCallAction,
                                 SendHeadersAction,
                                 SendDataAction,
                                 SendEndAction,
                                 LedgerOpenAction,
                                 LedgerCloseAction,
                                 RecordRefusalAction,
                                 TimelineAction,
                                 ForwardSchedulerAction>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_ACTION_H_
