#ifndef CAMPHORSAIL_CONTROL_VM_MONITOR_H_
#define CAMPHORSAIL_CONTROL_VM_MONITOR_H_

#include <map>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Records when the last message from each other VM was received. The leader
/// declares a VM lost when it has received none for `kLossTimeout`. From then
/// on the VM is not expected to mark its minutes.
///
/// Owned by `ControlNode`. Not thread-safe.
class VmMonitor {
 public:
  /// Silence after which a VM is lost. It is five times the default of
  /// `ReplicaSettings::lease_length`: by then the VM has certainly stopped
  /// admitting requests, and a mere restart of the process takes less time.
  static constexpr absl::Duration kLossTimeout = absl::Seconds(10);

  /// @param start When this process started. The silence of a VM that has sent
  ///     no message is counted from this time.
  explicit VmMonitor(MonoTime start) : start_(start) {}

  /// Records that a message from `vm` was received.
  void OnMessage(const VmId& vm, MonoTime now) {
    last_message_times_[vm] = now;
  }

  /// @return When the last message from `vm` was received; nothing when there
  ///     was none.
  std::optional<MonoTime> LastMessageTime(const VmId& vm) const {
    const auto position = last_message_times_.find(vm);
    if (position == last_message_times_.end()) {
      return std::nullopt;
    }
    return position->second;
  }

  /// @param since When this VM became the leader. Earlier silence is not
  ///     counted, because other VMs need not send messages to a follower.
  /// @return True when the silence of `vm` is longer than `kLossTimeout`.
  bool IsLost(const VmId& vm, MonoTime since, MonoTime now) const {
    MonoTime heard = LastMessageTime(vm).value_or(start_);
    if (heard < since) {
      heard = since;
    }
    return now - heard > kLossTimeout;
  }

 private:
  MonoTime start_;
  std::map<VmId, MonoTime> last_message_times_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_VM_MONITOR_H_
