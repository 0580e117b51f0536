#ifndef CAMPHORSAIL_PROCESS_LOG_WRITER_H_
#define CAMPHORSAIL_PROCESS_LOG_WRITER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>

#include "absl/time/time.h"
#include "camphorsail/process/log_level.h"

namespace camphorsail {

/// Writes the process's log lines to standard output on a thread of its own,
/// so that a reader that stands still never blocks the threads that log. Lines
/// wait in a bounded buffer; when it is full, new ones are left out and
/// counted. Information may use half of the buffer, so that warnings and errors
/// still fit when it does not.
///
/// Owned by `main`, created before the other threads.
class LogWriter {
 public:
  /// Becomes the sink of the log.
  /// @param max_bytes Size of the buffer.
  explicit LogWriter(size_t max_bytes);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Writes what waits and stops being the sink.
  ///
  /// @return False when the reader did not take all within `limit`. The thread
  /// then still waits for it, holding the lock of standard output, so that the
  /// process has to end by `_Exit`.
  bool Stop(absl::Duration limit);

 private:
  struct Shared;

  static void Run(const std::shared_ptr<Shared>& shared);

  /// Outlives the writer where its thread waits for the reader.
  const std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_WRITER_H_
