#include "camphorsail/storage/log_store_settings.h"

namespace camphorsail {

Expected<void> LogStoreSettings::Validate() const {
  if (folder.empty()) {
    return Fail(ErrorKind::kSettingsInvalid, "folder must be set");
  }
  if (segment_bytes == 0) {
    return Fail(ErrorKind::kSettingsInvalid, "segment_bytes must be positive");
  }
  return {};
}

}  // namespace camphorsail
