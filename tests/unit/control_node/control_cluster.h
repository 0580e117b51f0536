#ifndef TESTS_UNIT_CONTROL_NODE_CONTROL_CLUSTER_H_
#define TESTS_UNIT_CONTROL_NODE_CONTROL_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/random.h"
#include "camphorsail/control/control_node.h"
#include "camphorsail/limits/request_limits.h"

namespace camphorsail {

/// Runs the control nodes of several VMs in one process and in virtual time.
/// Messages take one to three milliseconds and are lost between VMs whose
/// connection is cut. Disk writes take two milliseconds.
class ControlCluster {
 public:
  struct Vm {
    std::unique_ptr<ControlNode> node;
    /// Content of the VM's disk. It contains completed writes only; the others
    /// are lost when the process ends.
    DurableState disk;
    bool running = false;
    /// True while the process is suspended: it gets events when it resumes.
    bool frozen = false;
    /// How often the process was started.
    int starts = 0;
    /// End of the published admission lease.
    MonoTime lease;
    Ref<EffectiveSettings> settings;
    /// The request path's shares of account limits; new at each start.
    std::unique_ptr<RequestLimits> limits;
    std::map<uint64_t, Expected<CommandResult>> answers;
    std::map<RequestId, Expected<LedgerOpenResult>> ledger_answers;
    std::map<uint64_t, Expected<void>> reads;
  };

  /// Number and size of the messages about account limits that were sent.
  struct LimitMessages {
    int64_t count = 0;
    int64_t bytes = 0;
  };

  ControlCluster(int vms,
                 uint64_t seed,
                 OrderPlannerSettings orders = {},
                 LimitAllocatorSettings limits = {},
                 DutySettings duties = {});

  static VmId Name(int vm) { return VmId("vm" + std::to_string(vm)); }
  Vm& vm(int index) { return vms_[static_cast<size_t>(index)]; }
  MonoTime now() const { return now_; }
  const LimitMessages& limit_messages() const { return limit_messages_; }
  /// @return True when the VM runs and holds an admission lease.
  bool MayAdmit(int index);
  /// @return Index of a leader that runs, is not frozen and holds an admission
  /// lease; -1 when there is none.
  int Leader();
  int vm_count() const { return static_cast<int>(vms_.size()); }

  void Start(int index);
  /// Stops the process; completed writes stay on its disk.
  void Kill(int index);
  /// Replaces the VM's disk by an empty one.
  void LoseDisk(int index);
  /// Cuts both directions between each of `left` and each of `right`.
  void CutConnections(const std::vector<int>& left,
                      const std::vector<int>& right);
  /// Restores all connections.
  void RestoreConnections() { cuts_.clear(); }

  /// Delivers an event to a VM now.
  void Post(int index, const ControlEvent& event);
  /// Delivers an event at a later time, unless the process ends before.
  void PostAt(int index, const ControlEvent& event, MonoTime at);
  /// Called for each call to an engine; may be empty.
  std::function<void(int vm, const EngineCallAction&)> on_engine_call;
  /// Called for each call to the provider; may be empty.
  std::function<void(int vm, const ProviderCall&)> on_provider_call;
  /// Submits a settings change to the whole fleet at a VM.
  /// @return The submission id.
  uint64_t SubmitChange(int index,
                        const std::string& change_id,
                        uint64_t base_version,
                        const std::string& key,
                        const std::string& value);
  void RunFor(absl::Duration duration);
  /// Runs until the condition is true or the limit has passed.
  /// @return True when the condition became true within the limit.
  bool RunUntil(const std::function<bool()>& condition, absl::Duration limit);

 private:
  /// An event that is delivered at a later time.
  struct ScheduledEvent {
    int vm = 0;
    /// Value of `Vm::starts` for which the event is meant; it is dropped when
    /// the process was restarted since.
    int start = 0;
    /// Sender of a message; -1 for other events.
    int from = -1;
    ControlEvent event;
    /// For a completed write, the batch that is then on the disk.
    std::shared_ptr<WriteBatch> batch;
  };

  void Step(int index, const ControlEvent& event);
  void Execute(int index, const ControlAction& action);
  static void WriteToDisk(const WriteBatch& batch, DurableState* disk);
  absl::Time WallNow() const {
    return absl::FromUnixSeconds(1'800'000'000) +
           absl::Nanoseconds(now_.nanos());
  }

  const OrderPlannerSettings orders_;
  const LimitAllocatorSettings limits_;
  const DutySettings duties_;
  LimitMessages limit_messages_;
  std::vector<Vm> vms_;
  Random random_;
  MonoTime now_;
  MonoTime next_tick_;
  uint64_t next_submission_ = 1;
  std::multimap<MonoTime, ScheduledEvent> scheduled_;
  std::set<std::pair<int, int>> cuts_;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONTROL_NODE_CONTROL_CLUSTER_H_
