#ifndef CAMPHORSAIL_ENTRY_ENTRY_SHARD_SETTINGS_H_
#define CAMPHORSAIL_ENTRY_ENTRY_SHARD_SETTINGS_H_

#include <cstddef>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"

namespace camphorsail {

/// Limits of one `EntryShard`. Checked once by `Validate`.
struct EntryShardSettings {
  /// A backend call is paused when this many bytes of its stream have not been
  /// consumed by the caller's connection. One more read of the backend client
  /// (8 KiB) keeps the buffered bytes below 64 KiB.
  size_t pause_above_bytes = 48 * 1024;
  /// A paused backend call resumes when fewer bytes than this are unconsumed.
  size_t resume_below_bytes = 24 * 1024;
  /// Longest answer that is buffered for a caller that did not ask for a
  /// stream, in bytes.
  size_t max_whole_answer_bytes = 4 * 1024 * 1024;
  /// Maximum time from the headers to the end of the body.
  absl::Duration body_timeout = absl::Seconds(10);
  /// Maximum time for the ledger to answer.
  absl::Duration ledger_timeout = absl::Seconds(3);

  /// @return Success, or `kSettingsInvalid`.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_SHARD_SETTINGS_H_
