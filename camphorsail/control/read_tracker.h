#ifndef CAMPHORSAIL_CONTROL_READ_TRACKER_H_
#define CAMPHORSAIL_CONTROL_READ_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/control_message.h"

namespace camphorsail {

/// Holds the reads of this VM that wait until its state is current. For each
/// read the leader is asked for a read index; the read is answered once this VM
/// has applied the log up to that index.
///
/// Owned by `ControlNode`. Not thread-safe.
class ReadTracker {
 public:
  /// The answer to a read: success when the state is current, or an error.
  struct Answer {
    uint64_t read_id = 0;
    Expected<void> result;
  };

  /// @param resend_interval Time without an answer after which the leader is
  ///     asked again.
  explicit ReadTracker(absl::Duration resend_interval);

  /// Adds a read.
  /// @param token A number that this VM uses only once, also across its
  ///     restarts.
  /// @param read_id Id of the read in its answer.
  /// @param deadline When the read is answered with an error.
  void Add(uint64_t token, uint64_t read_id, MonoTime deadline);

  /// @param leader The current leader; empty when unknown.
  /// @return The requests to send to the leader now; none without a leader.
  std::vector<ForwardedRead> TakeDue(const VmId& leader, MonoTime now);

  /// Handles the leader's answer.
  void OnResult(const ForwardedReadResult& result);

  /// Answers the reads whose index is applied and those whose deadline has
  /// passed.
  /// @param applied Index of the last applied log entry.
  /// @param answers The answers are appended.
  void Collect(LogIndex applied, MonoTime now, std::vector<Answer>* answers);

 private:
  struct Pending {
    uint64_t read_id = 0;
    MonoTime deadline;
    MonoTime next_send;
    /// The read index; set once a leader has confirmed it.
    std::optional<LogIndex> index;
  };

  absl::Duration resend_interval_;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_READ_TRACKER_H_
