#ifndef CAMPHORSAIL_CONTROL_REPLICATED_CLOCK_H_
#define CAMPHORSAIL_CONTROL_REPLICATED_CLOCK_H_

#include <cstdint>
#include <map>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// The time by which the replicated state expires records. It is derived from
/// the wall clocks in the commands, as the lower median of the latest clocks of
/// up to seven VMs, and never goes back. Once at least three VMs have proposed
/// commands, one VM with a wrong clock therefore cannot make records expire.
/// Owned by `ControlState`; not thread-safe.
class ReplicatedClock {
 public:
  /// Maximum number of VMs whose clocks are used. Seven covers the voters of
  /// every planned replica group; more would only keep the clocks of replaced
  /// VMs in the median for longer.
  static constexpr size_t kMaxReporters = 7;

  /// Takes the clock of an applied command. When more than `kMaxReporters` VMs
  /// have a clock here, the one with the oldest command is dropped.
  /// @param vm The proposer of the command.
  /// @param wall_micros Its wall clock, microseconds since the Unix epoch.
  /// @param index The command's log index.
  void Observe(const VmId& vm, int64_t wall_micros, LogIndex index);

  absl::Time Now() const { return absl::FromUnixMicros(now_micros_); }

  friend bool operator==(const ReplicatedClock&,
                         const ReplicatedClock&) = default;
  MSGPACK_DEFINE(reports_, now_micros_)

 private:
  struct Report {
    int64_t wall_micros = 0;
    LogIndex index;

    friend bool operator==(const Report&, const Report&) = default;
    MSGPACK_DEFINE(wall_micros, index)
  };

  std::map<VmId, Report> reports_;
  int64_t now_micros_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_REPLICATED_CLOCK_H_
