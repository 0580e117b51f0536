#ifndef CAMPHORSAIL_STORAGE_LOG_STORE_H_
#define CAMPHORSAIL_STORAGE_LOG_STORE_H_

#include <memory>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/durable_state.h"
#include "camphorsail/consensus/write_batch.h"
#include "camphorsail/storage/log_store_settings.h"

namespace camphorsail {

/// Keeps one replica's identity, hard state, log and snapshot in one folder:
/// `replica`, `log-*` segments and `snapshot-*`. Every record is checksummed
/// with CRC32C.
///
/// Owned by the storage thread of a VM. Not thread-safe; calls block.
class LogStore {
 public:
  /// Opens or creates the folder. A torn record at the end of the log is cut
  /// off.
  /// @return The store; `kDataCorrupt` when a record before the end of the log,
  ///     the identity or the snapshot fails its checksum; `kStorageFailed` when
  ///     the file system fails or another process has the folder open.
  static Expected<std::unique_ptr<LogStore>> Open(LogStoreSettings settings);
  ~LogStore();

  /// @return The state found by `Open`, once; empty afterwards.
  DurableState TakeRecoveredState();

  /// Makes a batch durable. Files and folder are synced on return.
  /// @return Nothing; `kStorageFailed`, after which the same batch must be
  ///     written again before any other; `kSettingsTooLarge` for a batch that
  ///     can never be written.
  Expected<void> Write(const WriteBatch& batch);

 private:
  class Impl;
  explicit LogStore(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_LOG_STORE_H_
