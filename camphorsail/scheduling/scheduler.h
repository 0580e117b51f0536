#ifndef CAMPHORSAIL_SCHEDULING_SCHEDULER_H_
#define CAMPHORSAIL_SCHEDULING_SCHEDULER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "camphorsail/scheduling/length_estimator.h"
#include "camphorsail/scheduling/pool.h"
#include "camphorsail/scheduling/retry_budget.h"
#include "camphorsail/scheduling/router.h"
#include "camphorsail/scheduling/scheduler_settings.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// Makes all scheduling decisions of one VM: admission, tiers, fairness,
/// routing, health and retries. A request waits in the scheduler until it is
/// refused or accepted; it is accepted with its first dispatch. An accepted
/// request is never refused for lack of capacity. Owned by the daemon and
/// called under the lock of its shard. `SchedulerLike` describes the calls.
class Scheduler {
 public:
  using Actions = std::vector<SchedulerAction>;

  /// @return The scheduler, or `kSettingsInvalid` for settings out of range.
  static Expected<std::unique_ptr<Scheduler>> Create(
      const SchedulerSettings& settings);
  ~Scheduler();

  void OnArrival(const RequestDescriptor& request,
                 MonoTime now,
                 Actions* actions);
  void OnTokens(RequestId id, Tokens tokens, MonoTime now);
  void OnAttemptFinished(const AttemptOutcome& outcome,
                         MonoTime now,
                         Actions* actions);
  void OnCallerGone(RequestId id, MonoTime now, Actions* actions);
  void OnServerView(const ServerView& view, MonoTime now, Actions* actions);
  void OnServerRemoved(BackendServerId server, MonoTime now, Actions* actions);
  void OnPeerDigest(const LoadDigest& digest, MonoTime now);
  void OnTick(MonoTime now, Actions* actions);

  /// @return Number of requests that wait or run.
  size_t request_count() const { return requests_.size(); }

 private:
  /// Sequence number and arrival time of the last digest of a peer.
  struct Peer {
    uint64_t sequence = 0;
    MonoTime last_digest_at;
  };
  /// Dense indexes of an account, a class and the pair of both.
  struct ClassInfo {
    int account = 0;
    int class_index = 0;
    int account_class = 0;
  };

  explicit Scheduler(const SchedulerSettings& settings);

  /// @return The dense indexes of the request's account and class, which are
  /// assigned at their first request.
  const ClassInfo& Intern(const RequestDescriptor& request);
  /// @return The dense index of the target.
  int InternTarget(ServerKind kind, const ModelId& target);
  /// Estimates the answer's length and the values that follow from it: work,
  /// size band and latest start.
  void UpdateEstimates(RequestState* request);
  void Enqueue(RequestState* request);
  void Dequeue(RequestState* request);
  /// Dispatches waiting requests, highest tier first, until the next one has to
  /// wait.
  void DispatchWaiting(Pool* pool, MonoTime now, Actions* actions);
  /// Dispatches one waiting request of each class in `Pool::due_classes`, as
  /// far as slots are free.
  void DispatchGuaranteed(Pool* pool, MonoTime now, Actions* actions);
  /// Sends a waiting request to a server and updates all accounting.
  /// @param guaranteed True when the request is accepted from the guaranteed
  /// share of its class.
  void Dispatch(RequestState* request,
                ServerState* server,
                bool guaranteed,
                MonoTime now,
                Actions* actions);
  void Refuse(RequestState* request,
              ErrorKind kind,
              MonoTime now,
              Actions* actions);
  /// Refuses waiting requests whose latest start has passed, once all peers
  /// have closed the tiers below or the first-token target has passed.
  void Expire(Pool* pool, MonoTime now, Actions* actions);
  void EndAttempt(RequestState* request, MonoTime now);
  /// Queues the request again after a failed attempt, or refuses it when it may
  /// not be sent again.
  void Retry(RequestState* request,
             AttemptResult result,
             MonoTime now,
             Actions* actions);
  void Erase(RequestState* request);
  /// Moves the servers and requests of `from` into `into` and deletes `from`.
  void MergePools(Pool* into, Pool* from, MonoTime now);
  /// Takes a server out of its pool, if it is in one, and adds it to `to`
  /// unless that is null. Requests that run on the server stay in the pool in
  /// which they were accepted.
  static void MoveServer(ServerState* server, Pool* to, MonoTime now);
  /// Updates what the server's pool derives from the server's state. Called
  /// after each change of the server's load, health or slots.
  static void UpdatePoolOf(ServerState* server, MonoTime now);
  /// Takes a server out of its pool and keeps its state until this VM's
  /// requests on it have ended.
  void Retire(std::unique_ptr<ServerState> server, MonoTime now);
  /// Recomputes this VM's slots on each server after the set of live VMs has
  /// changed.
  void UpdateSlots(MonoTime now);
  /// @return This VM's part of the server's capacity, which is divided evenly
  /// among the live VMs; at least 1.
  int SlotsOn(const ServerState& server) const;
  LoadDigest MakeDigest(MonoTime now) const;
  /// Sends a digest when the state of a tier has changed, when a peer waits for
  /// a confirmation, or when the last digest is older than the interval.
  void SendDigestIfDue(MonoTime now, Actions* actions);

  SchedulerSettings settings_;
  LengthEstimator lengths_;
  Router router_;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> requests_;
  absl::btree_map<BackendServerId, std::unique_ptr<ServerState>> servers_;
  /// Servers that left or restarted while this VM had requests on them.
  std::vector<std::unique_ptr<ServerState>> retired_;
  std::vector<std::unique_ptr<Pool>> pools_;
  absl::flat_hash_map<std::pair<ServerKind, ModelId>, int> target_indexes_;
  /// Pool of each target, by target index; null until a server answers the
  /// target.
  std::vector<Pool*> target_pools_;
  absl::flat_hash_map<std::pair<ClientAccountId, ClassId>, ClassInfo>
      class_infos_;
  absl::flat_hash_map<ClientAccountId, int> accounts_;
  absl::flat_hash_map<ClassId, int> classes_;
  /// Retry budget of each class, by dense class index.
  std::vector<RetryBudget> retry_budgets_;

  absl::btree_map<VmId, Peer> peers_;
  /// Number of VMs that share the servers, and this VM's rank in the order of
  /// their names.
  int live_vm_count_ = 1;
  int rank_ = 0;
  MonoTime started_at_;
  bool has_started_ = false;
  uint64_t digest_sequence_ = 0;
  MonoTime digest_sent_at_;
  LoadDigest last_digest_;
  /// True when a peer has reported a new lack of capacity and waits for this
  /// VM's next digest as confirmation.
  bool confirmation_due_ = false;
};

static_assert(SchedulerLike<Scheduler>);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SCHEDULER_H_
