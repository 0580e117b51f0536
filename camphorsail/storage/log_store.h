#ifndef CAMPHORSAIL_STORAGE_LOG_STORE_H_
#define CAMPHORSAIL_STORAGE_LOG_STORE_H_

#include <memory>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/durable_state.h"
#include "camphorsail/consensus/write_batch.h"
#include "camphorsail/storage/log_store_settings.h"

namespace camphorsail {

/// Stores the id, hard state, log and snapshot of one replica in one folder, in
/// the file `replica`, the segment files `log-*` and the file `snapshot-*`.
/// Every record has a CRC32C checksum.
///
/// Owned by the storage thread of a VM. Not thread-safe; calls block.
class LogStore {
 public:
  /// Opens or creates the folder and recovers its state. A last record of the
  /// log that is incomplete or fails a checksum is removed.
  /// @return The store; `kDataCorrupt` when a record before the end of the log,
  ///     the file `replica` or the snapshot is damaged or missing;
  ///     `kStorageFailed` when the file system reports an error or the
  ///     folder is already open, in this process or another one.
  static Expected<std::unique_ptr<LogStore>> Open(LogStoreSettings settings);
  ~LogStore();

  /// @return The state that `Open` recovered. Moved out by the first call, so
  ///     that later calls return an empty state.
  DurableState TakeRecoveredState();

  /// Makes a batch durable. On return the files and the folder are synced.
  /// @return Success; `kStorageFailed`, after which the same batch must be
  ///     written again before any other; or `kSettingsTooLarge` for a batch
  ///     that exceeds the size limit of a record.
  Expected<void> Write(const WriteBatch& batch);

 private:
  class Impl;
  explicit LogStore(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_LOG_STORE_H_
