#ifndef CAMPHORSAIL_PROCESS_LOG_WRITER_H_
#define CAMPHORSAIL_PROCESS_LOG_WRITER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>

#include "absl/time/time.h"
#include "camphorsail/process/log_level.h"

namespace camphorsail {

/// Writes the process's log lines to standard output on a separate thread, so
/// that a stalled reader of standard output never blocks the threads that log.
/// Lines are queued in a bounded buffer; when it is full, new lines are dropped
/// and counted. Lines below the level warning may use only half of the buffer,
/// so that there is still room for warnings and errors.
///
/// Owned by `main`, created before the other threads.
class LogWriter {
 public:
  /// Installs itself as the log sink; see `SetLogSink`.
  /// @param max_bytes Size of the buffer in bytes.
  explicit LogWriter(size_t max_bytes);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Removes the log sink and writes the queued lines.
  ///
  /// @return False when the queued lines could not be written within `limit`.
  /// The thread is then still blocked in a write and holds the lock of standard
  /// output, so that the process has to end by `_Exit`.
  bool Stop(absl::Duration limit);

 private:
  struct Shared;

  static void Run(const std::shared_ptr<Shared>& shared);

  /// Outlives the writer when its thread is still blocked after `Stop`.
  const std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_WRITER_H_
