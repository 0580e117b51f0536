#ifndef CAMPHORSAIL_ENTRY_ENTRY_EVENT_H_
#define CAMPHORSAIL_ENTRY_ENTRY_EVENT_H_

#include <variant>

#include "camphorsail/entry/answer_bytes_consumed_event.h"
#include "camphorsail/entry/backend_data_event.h"
#include "camphorsail/entry/backend_end_event.h"
#include "camphorsail/entry/backend_failure_event.h"
#include "camphorsail/entry/backend_headers_event.h"
#include "camphorsail/entry/body_complete_event.h"
#include "camphorsail/entry/body_failed_event.h"
#include "camphorsail/entry/caller_gone_event.h"
#include "camphorsail/entry/drain_event.h"
#include "camphorsail/entry/effective_settings_event.h"
#include "camphorsail/entry/entry_tick_event.h"
#include "camphorsail/entry/lease_event.h"
#include "camphorsail/entry/ledger_answer.h"
#include "camphorsail/entry/request_arrived_event.h"
#include "camphorsail/entry/scheduler_action_event.h"
#include "camphorsail/entry/targets_event.h"

namespace camphorsail {

/// All events that an `EntryShard` handles.
using EntryEvent = std::variant<RequestArrivedEvent,
                                BodyCompleteEvent,
                                BodyFailedEvent,
                                BackendHeadersEvent,
                                BackendDataEvent,
                                BackendEndEvent,
                                BackendFailureEvent,
                                CallerGoneEvent,
                                AnswerBytesConsumedEvent,
                                LedgerAnswer,
                                SchedulerActionEvent,
                                EntryTickEvent,
                                EffectiveSettingsEvent,
                                LeaseEvent,
                                TargetsEvent,
                                DrainEvent>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_EVENT_H_
