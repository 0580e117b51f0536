#ifndef CAMPHORSAIL_ENTRY_FORWARD_SCHEDULER_ACTION_H_
#define CAMPHORSAIL_ENTRY_FORWARD_SCHEDULER_ACTION_H_

#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// Passes a scheduler action on to the shard that owns the request, or to the
/// peers when it carries a load digest.
struct ForwardSchedulerAction {
  SchedulerAction action;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_FORWARD_SCHEDULER_ACTION_H_
