#ifndef CAMPHORSAIL_STORAGE_LOG_STORE_SETTINGS_H_
#define CAMPHORSAIL_STORAGE_LOG_STORE_SETTINGS_H_

#include <cstddef>
#include <string>

#include "camphorsail/base/error.h"

namespace camphorsail {

/// Settings of a `LogStore`.
struct LogStoreSettings {
  /// Path of the data folder; it is created when it does not exist.
  std::string folder;
  /// A new segment is started when the current one has reached this size.
  size_t segment_bytes = 4 << 20;

  /// @return Success, or `kSettingsInvalid` with the name of the invalid field.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_LOG_STORE_SETTINGS_H_
