#ifndef CAMPHORSAIL_ENTRY_EFFECTIVE_SETTINGS_EVENT_H_
#define CAMPHORSAIL_ENTRY_EFFECTIVE_SETTINGS_EVENT_H_

#include "camphorsail/base/ref.h"
#include "camphorsail/control/effective_settings.h"

namespace camphorsail {

/// New settings, which apply to requests that arrive after this event.
struct EffectiveSettingsEvent {
  Ref<EffectiveSettings> effective_settings;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_EFFECTIVE_SETTINGS_EVENT_H_
