#include "camphorsail/entry/entry_shard_settings.h"

namespace camphorsail {

Expected<void> EntryShardSettings::Validate() const {
  if (resume_below_bytes == 0 || resume_below_bytes >= pause_above_bytes) {
    return Fail(ErrorKind::kSettingsInvalid,
                "resume_below_bytes must be above 0 and below "
                "pause_above_bytes");
  }
  if (max_whole_answer_bytes == 0) {
    return Fail(ErrorKind::kSettingsInvalid,
                "max_whole_answer_bytes must be above 0");
  }
  if (body_timeout <= absl::ZeroDuration() ||
      ledger_timeout <= absl::ZeroDuration()) {
    return Fail(ErrorKind::kSettingsInvalid,
                "body_timeout and ledger_timeout must be above 0");
  }
  return {};
}

}  // namespace camphorsail
