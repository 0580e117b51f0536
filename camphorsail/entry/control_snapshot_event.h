#ifndef CAMPHORSAIL_ENTRY_CONTROL_SNAPSHOT_EVENT_H_
#define CAMPHORSAIL_ENTRY_CONTROL_SNAPSHOT_EVENT_H_

#include "camphorsail/base/ref.h"
#include "camphorsail/control/effective_settings.h"

namespace camphorsail {

/// New settings are in force for requests that arrive from now on.
struct ControlSnapshotEvent {
  Ref<EffectiveSettings> snapshot;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_CONTROL_SNAPSHOT_EVENT_H_
