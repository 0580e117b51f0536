#ifndef CAMPHORSAIL_SCHEDULING_SCHEDULER_TYPES_H_
#define CAMPHORSAIL_SCHEDULING_SCHEDULER_TYPES_H_

#include <array>
#include <cstdint>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"

namespace camphorsail {

enum class ServerKind : uint8_t { kModelEngine, kService };

/// The properties of a request that the scheduler knows when it arrives.
struct RequestDescriptor {
  RequestId request;
  ClientAccountId account;
  ClassId class_id;
  ServerKind kind = ServerKind::kModelEngine;
  /// Name of the model or service that the request is for.
  ModelId target;
  Tier tier{3};
  Weight weight{1.0};
  double guaranteed_share = 0.01;
  double retry_budget_ratio = 0.1;
  MonoTime arrival;
  /// Time allowed for the first token, counted from `arrival`. This and
  /// `total_target` are time targets and unrelated to `target`.
  absl::Duration ttft_target = absl::Seconds(1);
  /// Time allowed for the whole answer, counted from `arrival`; later answers
  /// do not count as goodput.
  absl::Duration total_target = absl::Seconds(60);
  Tokens prompt_tokens;
  /// Upper bound of the answer's length; for a service call, of its duration in
  /// milliseconds.
  Tokens max_output_tokens{4096};
  /// Chained hashes of the prompt's blocks: each covers the prompt from its
  /// start to the end of the block. The longest prefix is last.
  std::vector<uint64_t> prefix_hashes;
  /// False when the request must not be sent again after a server may have run
  /// it.
  bool idempotent = true;
};

/// State of one backend server according to its last announcement.
struct ServerView {
  BackendServerId server;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  ServerKind kind = ServerKind::kModelEngine;
  /// Models or services for which the server can answer requests now.
  std::vector<ModelId> targets;
  /// Number of requests that the server can run at the same time.
  int capacity = 1;
  /// Requests running and waiting on the server according to its report,
  /// including those that this VM sent.
  int reported_running = 0;
  int reported_waiting = 0;
  /// Fraction of the KV cache in use, in [0, 1].
  double kv_usage = 0;
  /// Current time per output token as reported by the server; 0 when it reports
  /// none.
  double seconds_per_token = 0;
  /// When the report was made, on this VM's clock: arrival time of the report
  /// minus the age that it states.
  MonoTime reported_at;
  /// Prefix blocks announced as cached since the last view, and blocks
  /// announced as evicted.
  std::vector<uint64_t> cached_blocks;
  std::vector<uint64_t> evicted_blocks;
  /// True when cache events before this view were lost.
  bool cache_events_gap = false;
};

enum class AttemptResult : uint8_t {
  kCompleted,
  /// The server refused the request before running it.
  kRejected,
  /// The connection failed before any byte was sent.
  kNotSent,
  /// The connection or server failed after the request was sent.
  kFailed,
  kTimedOut,
  kCancelled,
};

/// How one attempt on a backend server ended.
struct AttemptOutcome {
  RequestId request;
  AttemptNumber attempt;
  BackendServerId server;
  AttemptResult result = AttemptResult::kCompleted;
  /// Output tokens received in this attempt.
  Tokens output_tokens;
};

/// Admission state of one VM, sent to its peers when it changes and at a
/// regular interval.
struct LoadDigest {
  VmId vm;
  /// Increases with each digest of the VM.
  uint64_t sequence = 0;
  struct TierState {
    /// False while the VM accepts requests of this tier only from guaranteed
    /// shares, because a higher tier lacks capacity.
    bool open = true;
    /// True while the VM lacks capacity for this tier. Its peers then close the
    /// tiers below.
    bool overloaded = false;
    /// Estimated output tokens of the requests that wait or run; for service
    /// calls, milliseconds.
    Tokens outstanding;
  };
  /// State over all pools: a tier is open when it is open in every pool and
  /// lacks capacity when any pool does; `outstanding` is summed over the pools,
  /// tokens and milliseconds alike.
  std::array<TierState, kTierCount> tiers;
  /// State of one pool, a group of servers of one kind that are connected by
  /// shared targets (models or services). `target` is one of them.
  struct PoolState {
    ServerKind kind = ServerKind::kModelEngine;
    ModelId target;
    std::array<TierState, kTierCount> tiers;
    /// Classes of which the VM has accepted requests without use of their
    /// guaranteed share since its last digest. The peers then drop their credit
    /// for these classes: a class that is served normally on one VM needs no
    /// guarantee on another.
    std::vector<ClassId> classes_beyond_guarantee;
  };
  /// State per pool. Lack of capacity in one pool does not close tiers of
  /// another.
  std::vector<PoolState> pools;
};

/// Instructs the owner of the scheduler to send the request to this backend
/// server now.
struct DispatchAction {
  RequestId request;
  AttemptNumber attempt;
  BackendServerId server;
  Incarnation incarnation;
  /// Priority passed to the engine; requests with a smaller value run first.
  int engine_priority = 0;
  /// Time at which the owner of the scheduler abandons the attempt.
  MonoTime attempt_deadline;
};

/// Instructs the owner of the scheduler to answer the request with an error. A
/// request without an earlier `DispatchAction` was not run.
struct RefuseAction {
  RequestId request;
  Error error;
};

/// Instructs the owner of the scheduler to send the digest to all peers.
struct SendDigestAction {
  LoadDigest digest;
};

using SchedulerAction =
    std::variant<DispatchAction, RefuseAction, SendDigestAction>;

/// Interface of a scheduler, which makes the decisions of one VM's request
/// path. The daemon and the policy bench call it; `Scheduler` and the baseline
/// schedulers of the bench implement it. A scheduler reads no clock and does no
/// I/O: it is given the time and returns actions for its owner to perform. The
/// owner holds the lock of the scheduler's shard.
template <typename T>
concept SchedulerLike = requires(T scheduler,
                                 const RequestDescriptor& request,
                                 const AttemptOutcome& outcome,
                                 const ServerView& view,
                                 const LoadDigest& digest,
                                 RequestId id,
                                 BackendServerId server,
                                 Tokens tokens,
                                 MonoTime now,
                                 std::vector<SchedulerAction>* actions) {
  scheduler.OnArrival(request, now, actions);
  // `tokens`: output tokens received since the last call for this request. The
  // first call marks the arrival of the first token.
  scheduler.OnTokens(id, tokens, now);
  scheduler.OnAttemptFinished(outcome, now, actions);
  scheduler.OnCallerGone(id, now, actions);
  scheduler.OnServerView(view, now, actions);
  // The server gets no new requests from now on; those in progress may finish.
  scheduler.OnServerRemoved(server, now, actions);
  scheduler.OnPeerDigest(digest, now);
  // Called at least every 10 ms.
  scheduler.OnTick(now, actions);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SCHEDULER_TYPES_H_
