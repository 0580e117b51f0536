#ifndef CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_
#define CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/gateway_poll.h"
#include "camphorsail/gateway/gateway_update.h"
#include "camphorsail/runtime/control_runtime.h"

namespace camphorsail {

/// The gateways that a replica serves. Answers their polls once the replica's
/// state is confirmed as current, and sends them each new routing table at
/// once. Thread-safe; hooks run under no lock.
class GatewaySessions {
 public:
  struct Hooks {
    std::function<void(ControlRuntime::CurrentCallback)> when_current;
    std::function<void(const VmId& gateway, const GatewayUpdate&)> send;
    std::function<MonoTime()> now;
  };

  explicit GatewaySessions(Hooks hooks) : hooks_(std::move(hooks)) {}

  void OnPoll(const VmId& from, const GatewayPoll& poll);
  /// Sends a table to all gateways that have an older one.
  void OnTable(const Ref<SharedRoutingTable>& table);

 private:
  /// A gateway takes its replicas in turn, so that it polls one replica of nine
  /// every 3 s.
  static constexpr absl::Duration kSessionLifetime = absl::Seconds(8);

  struct Session {
    MonoTime polled_at;
    uint64_t table_version = 0;
  };
  /// The latest poll of each gateway.
  using Polls = std::map<VmId, GatewayPoll>;

  void StartRead();
  void OnCurrent(const Polls& polls,
                 const Expected<void>& result,
                 const ControlNode& node);
  void RemoveExpired() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Hooks hooks_;
  absl::Mutex mutex_;
  std::map<VmId, Session> sessions_ ABSL_GUARDED_BY(mutex_);
  /// Polls that came after the read in progress began.
  Polls waiting_ ABSL_GUARDED_BY(mutex_);
  bool reading_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_
