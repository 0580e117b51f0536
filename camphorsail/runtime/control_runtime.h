#ifndef CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_H_
#define CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/control/control_node.h"
#include "camphorsail/net/waker.h"
#include "camphorsail/runtime/control_runtime_hooks.h"
#include "camphorsail/runtime/storage_thread.h"

namespace camphorsail {

/// Runs the `ControlNode` of one VM on a dedicated thread: passes events to it
/// and executes its actions. Public functions are thread-safe and do not wait
/// for the control thread unless stated otherwise.
class ControlRuntime {
 public:
  /// @param settings Valid settings of the node.
  /// @param data_folder Empty on a VM without a disk.
  /// @param seed Different at each start of any VM.
  /// @param hooks See `ControlRuntimeHooks`.
  /// @return The runtime, which is not started yet; `kSettingsInvalid`,
  ///     `kDataCorrupt` or `kStorageFailed`.
  static Expected<std::unique_ptr<ControlRuntime>> Create(
      ControlNodeSettings settings,
      const std::string& data_folder,
      uint64_t seed,
      ControlRuntimeHooks hooks);
  ~ControlRuntime();
  ControlRuntime(const ControlRuntime&) = delete;
  ControlRuntime& operator=(const ControlRuntime&) = delete;

  /// Starts the control thread. The hooks are called from then on.
  void Start();

  /// Queues an event for the node. Events posted before `Start` are delivered
  /// after it.
  void Post(ControlEvent event);

  /// Commits a command and waits for its result.
  /// @return The result; see `SubmissionAnsweredAction` for the errors.
  Expected<CommandResult> Submit(CommandBody body);

  /// Waits until this VM's state contains everything committed so far.
  /// @return Nothing, or `kQuorumLost` when no leader confirmed that.
  Expected<void> WaitUntilCurrent();

  /// Calls `callback` on the control thread once this VM's state contains
  /// everything committed before the call, or with `kQuorumLost`.
  /// @param callback Must not block. Not called when the runtime stops first.
  using CurrentCallback =
      std::function<void(const Expected<void>& result, const ControlNode&)>;
  void WhenCurrent(CurrentCallback callback);

  /// Runs a function on the control thread and waits for it.
  /// @param function Must not block.
  void Inspect(const std::function<void(const ControlNode&)>& function);

  /// Records this VM's last minutes, ends its registration and waits until both
  /// are committed.
  /// @return False when no leader confirmed it in time.
  bool Leave();

  /// Stops and joins the threads. May be called more than once.
  void Stop();

 private:
  /// Period of the node's tick.
  static constexpr absl::Duration kTick = absl::Milliseconds(20);

  /// A thread that waits for a result. Lives on the stack of that thread.
  template <typename T>
  struct Waiter {
    bool done = false;
    T value;
  };

  ControlRuntime(std::unique_ptr<ControlNode> node,
                 std::unique_ptr<LogStore> store,
                 ControlRuntimeHooks hooks);

  void Run();
  void StepNode(const ControlEvent& event);
  void Execute(const PublishSettingsAction& action);
  void Execute(const PublishLeaseAction& action);
  void Execute(const ControlSendAction& action);
  void Execute(const ControlWriteAction& action);
  void Execute(const SubmissionAnsweredAction& action);
  void Execute(const LedgerOpenAnsweredAction& action);
  void Execute(const ReadAnsweredAction& action);
  void Execute(const LeaveCompletedAction& action);
  void Execute(const EngineCallAction& action);
  void Execute(const ProviderCallAction& action);
  void Execute(const ControlTimelineAction& action);
  void Execute(const PublishLimitsAction& action);
  void Execute(const PublishRoutingAction& action);
  void Execute(const PublishDeparturesAction& action);

  /// Used on the control thread only.
  std::unique_ptr<ControlNode> node_;
  std::vector<ControlAction> actions_;
  const ControlRuntimeHooks hooks_;
  Waker waker_;

  absl::Mutex mutex_;
  std::deque<ControlEvent> events_ ABSL_GUARDED_BY(mutex_);
  std::deque<std::function<void(const ControlNode&)>> inspections_
      ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<uint64_t, Waiter<Expected<CommandResult>>*> submissions_
      ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, Waiter<Expected<void>>*> reads_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, CurrentCallback> callbacks_ ABSL_GUARDED_BY(mutex_);
  std::vector<Waiter<bool>*> pending_leaves_ ABSL_GUARDED_BY(mutex_);

  std::unique_ptr<StorageThread> storage_;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_H_
