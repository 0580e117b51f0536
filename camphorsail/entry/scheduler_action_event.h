#ifndef CAMPHORSAIL_ENTRY_SCHEDULER_ACTION_EVENT_H_
#define CAMPHORSAIL_ENTRY_SCHEDULER_ACTION_EVENT_H_

#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// A scheduler action for a request of this shard that the scheduler returned
/// to another shard or in a tick.
struct SchedulerActionEvent {
  SchedulerAction action;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SCHEDULER_ACTION_EVENT_H_
