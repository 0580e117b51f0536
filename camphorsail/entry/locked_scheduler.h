#ifndef CAMPHORSAIL_ENTRY_LOCKED_SCHEDULER_H_
#define CAMPHORSAIL_ENTRY_LOCKED_SCHEDULER_H_

#include <memory>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// Wraps a scheduler in a mutex, so that the shards of one VM can share it.
/// Thread-safe. Lock order: the mutex is taken while a shard's lock may be
/// held, and no other lock is taken while it is held.
///
/// @tparam Scheduler The wrapped scheduler.
template <SchedulerLike Scheduler>
class LockedScheduler {
 public:
  using Actions = std::vector<SchedulerAction>;

  explicit LockedScheduler(std::unique_ptr<Scheduler> scheduler)
      : scheduler_(std::move(scheduler)) {}

  void OnArrival(const RequestDescriptor& request,
                 MonoTime now,
                 Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnArrival(request, now, actions);
  }
  void OnTokens(RequestId id, Tokens tokens, MonoTime now) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnTokens(id, tokens, now);
  }
  void OnAttemptFinished(const AttemptOutcome& outcome,
                         MonoTime now,
                         Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnAttemptFinished(outcome, now, actions);
  }
  void OnCallerGone(RequestId id, MonoTime now, Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnCallerGone(id, now, actions);
  }
  void OnServerView(const ServerView& view, MonoTime now, Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnServerView(view, now, actions);
  }
  void OnServerRemoved(const BackendServerId& server,
                       MonoTime now,
                       Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnServerRemoved(server, now, actions);
  }
  void OnPeerDigest(const LoadDigest& digest, MonoTime now) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnPeerDigest(digest, now);
  }
  void OnTick(MonoTime now, Actions* actions) {
    absl::MutexLock lock(&mutex_);
    scheduler_->OnTick(now, actions);
  }

 private:
  absl::Mutex mutex_;
  /// Guarded by `mutex_`.
  const std::unique_ptr<Scheduler> scheduler_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LOCKED_SCHEDULER_H_
