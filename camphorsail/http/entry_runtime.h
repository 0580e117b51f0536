#ifndef CAMPHORSAIL_HTTP_ENTRY_RUNTIME_H_
#define CAMPHORSAIL_HTTP_ENTRY_RUNTIME_H_

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/entry/entry_shard.h"
#include "camphorsail/entry/error_answer.h"
#include "camphorsail/entry/locked_scheduler.h"
#include "camphorsail/http/backend_client.h"
#include "camphorsail/http/entry_runtime_hooks.h"
#include "camphorsail/http/stream_handlers.h"
#include "camphorsail/limits/request_limits.h"

namespace camphorsail {

/// Runs the entry shards of one VM: passes to them the events of the callers'
/// listener, the backend clients and the control path, and executes the actions
/// that they return. Each shard has a lock and a backend client with its own
/// thread. The lock order is: shard, then scheduler or account limits, then
/// stream or client.
///
/// @tparam Scheduler Type of the VM's scheduler, see `SchedulerLike`.
template <SchedulerLike Scheduler>
class EntryRuntime {
 public:
  /// @param settings Valid settings of each shard.
  /// @param shard_count At least 1.
  /// @param first_request Id of the first request. Its high bits make request
  /// ids unique in the fleet.
  /// @param scheduler Must outlive the runtime.
  /// @param hooks See `EntryRuntimeHooks`.
  EntryRuntime(const EntryShardSettings& settings,
               size_t shard_count,
               RequestId first_request,
               LockedScheduler<Scheduler>* scheduler,
               EntryRuntimeHooks hooks)
      : hooks_(std::move(hooks)),
        scheduler_(scheduler),
        next_request_(first_request.value()) {
    for (size_t i = 0; i < shard_count; ++i) {
      shards_.push_back(std::make_unique<Shard>(settings, scheduler, &limits_));
    }
    for (auto& shard : shards_) {
      Shard* raw = shard.get();
      raw->client = std::make_unique<BackendClient>(
          [this, raw](EntryEvent event) { StepShard(raw, std::move(event)); });
    }
  }

  /// @return The handlers for the callers' listener.
  StreamHandlers CallerHandlers();

  /// Delivers an event to the shard of `request` on that shard's thread.
  void Post(RequestId request, EntryEvent event) {
    ShardOf(request)->client->Post(std::move(event));
  }
  /// Applies a copy of an event to every shard before it returns. Takes the
  /// shards' locks, so it must not be called from a hook.
  void StepAll(const EntryEvent& event) {
    for (auto& shard : shards_) {
      StepShard(shard.get(), event);
    }
  }
  /// Delivers a copy of an event to every shard on the shard's thread.
  void PostAll(const EntryEvent& event) {
    for (auto& shard : shards_) {
      shard->client->Post(event);
    }
  }
  /// Executes actions that the scheduler returned to a caller other than a
  /// shard, for example to the owner of the server registry.
  void RouteActions(std::vector<SchedulerAction> actions);

  /// Applies the time limits of the scheduler and the shards; must be called
  /// every 10 ms.
  void Tick();

  /// @return A new id for a request.
  RequestId NewRequestId() { return RequestId(next_request_.fetch_add(1)); }
  /// @return Number of requests whose answer is not complete.
  size_t in_progress() const;
  /// @return True when new requests are accepted.
  bool IsReady() const;
  /// @return The account limits that the shards check; thread-safe.
  RequestLimits& limits() { return limits_; }

 private:
  struct Shard {
    Shard(const EntryShardSettings& settings,
          LockedScheduler<Scheduler>* scheduler,
          RequestLimits* limits)
        : state_machine(settings, scheduler, limits) {}

    absl::Mutex mutex;
    /// Guarded by `mutex`, as are `streams` and `actions`.
    EntryShard<LockedScheduler<Scheduler>> state_machine;
    absl::flat_hash_map<RequestId, Ref<ServerStream>> streams;
    /// Reused between steps, to avoid an allocation per step.
    std::vector<EntryAction> actions;
    std::unique_ptr<BackendClient> client;
  };

  Shard* ShardOf(RequestId request) const {
    return shards_[request.value() % shards_.size()].get();
  }
  void StepShard(Shard* shard, EntryEvent event);

  // Each executes one action; the shard's lock is held.
  void Execute(Shard* shard, StartBackendCallAction& action);
  void Execute(Shard* shard, CancelBackendCallAction& action) {
    shard->client->Cancel(action.attempt);
  }
  void Execute(Shard* shard, PauseBackendCallAction& action) {
    shard->client->SetPaused(action.attempt, action.paused);
  }
  void Execute(Shard* shard, SendHeadersAction& action);
  void Execute(Shard* shard, SendDataAction& action);
  void Execute(Shard* shard, SendEndAction& action);
  void Execute(Shard* /*shard*/, LedgerOpenAction& action) {
    hooks_.ledger_open(action);
  }
  void Execute(Shard* /*shard*/, LedgerCloseAction& action) {
    hooks_.ledger_close(action);
  }
  void Execute(Shard* /*shard*/, RecordRefusalAction& action) {
    hooks_.record_refusal(action);
  }
  void Execute(Shard* /*shard*/, TimelineAction& action) {
    hooks_.timeline(action);
  }
  void Execute(Shard* shard, ForwardSchedulerAction& action);
  void RouteAction(Shard* from, SchedulerAction action);

  const EntryRuntimeHooks hooks_;
  LockedScheduler<Scheduler>* const scheduler_;
  std::atomic<uint64_t> next_request_;
  RequestLimits limits_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::StepShard(Shard* shard, EntryEvent event) {
  absl::MutexLock lock(&shard->mutex);
  shard->actions.clear();
  shard->state_machine.Step(std::move(event), MonotonicNow(), &shard->actions);
  for (EntryAction& action : shard->actions) {
    std::visit([this, shard](auto& a) { this->Execute(shard, a); }, action);
  }
}

template <SchedulerLike Scheduler>
StreamHandlers EntryRuntime<Scheduler>::CallerHandlers() {
  StreamHandlers handlers;
  const auto admit = [this](const Ref<ServerStream>& stream) {
    const RequestId id = NewRequestId();
    stream->set_tag(id.value());
    Shard* shard = ShardOf(id);
    absl::MutexLock lock(&shard->mutex);
    shard->streams[id] = stream;
    return id;
  };
  handlers.on_headers = [this, admit](const Ref<ServerStream>& stream) {
    const HttpRequest& request = stream->request();
    const RequestId id = admit(stream);
    RequestArrivedEvent event;
    event.request = id;
    event.method = request.method;
    event.path = request.target;
    event.authorization = request.Header("authorization");
    event.class_header = request.Header("x-camphorsail-class");
    event.idempotency_key = request.Header("idempotency-key");
    event.idempotent_header = request.Header("x-camphorsail-idempotent");
    event.content_type = request.Header("content-type");
    StepShard(ShardOf(id), std::move(event));
  };
  handlers.on_body = [this](const Ref<ServerStream>& stream) {
    const RequestId id(stream->tag());
    StepShard(ShardOf(id),
              BodyCompleteEvent{id, std::move(stream->mutable_request().body)});
  };
  handlers.on_rejected = [this](const Ref<ServerStream>& stream,
                                ErrorKind kind) {
    Error error{kind,
                kind == ErrorKind::kOverloaded
                    ? "the bodies of other requests use all memory for bodies"
                    : "the request is too large"};
    if (stream->tag() == 0) {
      // The request was rejected before it was passed to a shard.
      const RequestId id = NewRequestId();
      TimelineAction refusal;
      refusal.request = id;
      refusal.decision = "refuse";
      refusal.reason = std::string(GetErrorTraits(kind).code);
      refusal.inputs = {{"client", stream->request().client_address}};
      hooks_.timeline(refusal);
      HttpResponse response;
      response.status = GetErrorTraits(kind).http_status;
      response.body = ErrorAnswerBody(error, id);
      response.headers.emplace_back("X-Request-Id", FormatRequestId(id));
      stream->Respond(response);
      return;
    }
    const RequestId id(stream->tag());
    StepShard(ShardOf(id), BodyFailedEvent{id, std::move(error)});
  };
  handlers.on_gone = [this](const Ref<ServerStream>& stream) {
    const RequestId id(stream->tag());
    Shard* shard = ShardOf(id);
    StepShard(shard, CallerGoneEvent{id});
    absl::MutexLock lock(&shard->mutex);
    shard->streams.erase(id);
  };
  handlers.on_drained = [this](const Ref<ServerStream>& stream, size_t bytes) {
    const RequestId id(stream->tag());
    StepShard(ShardOf(id), AnswerBytesConsumedEvent{id, bytes});
  };
  return handlers;
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Execute(Shard* shard,
                                      StartBackendCallAction& action) {
  BackendAddress address =
      hooks_.resolve(action.server, action.attempt.incarnation);
  if (address.host_port.empty()) {
    shard->client->Post(BackendFailureEvent{
        action.attempt, false, "the server's address is not known"});
    return;
  }
  BackendCall call;
  call.attempt = action.attempt;
  call.url = "http://" + address.host_port + action.path;
  call.content_type = std::move(action.content_type);
  call.body = std::move(action.body);
  call.idempotent = action.idempotent;
  shard->client->Start(std::move(call));
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Execute(Shard* shard, SendHeadersAction& action) {
  const auto found = shard->streams.find(action.request);
  if (found == shard->streams.end()) {
    return;
  }
  HttpResponse head;
  head.status = action.status;
  head.content_type = std::move(action.content_type);
  head.headers.emplace_back("X-Request-Id", FormatRequestId(action.request));
  if (action.retry_after > absl::ZeroDuration()) {
    head.headers.emplace_back(
        "Retry-After",
        std::to_string(absl::ToInt64Seconds(action.retry_after)));
  }
  if (action.streamed) {
    head.headers.emplace_back("Cache-Control", "no-cache");
  }
  found->second->Start(std::move(head), action.streamed);
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Execute(Shard* shard, SendDataAction& action) {
  const auto found = shard->streams.find(action.request);
  if (found != shard->streams.end()) {
    found->second->Write(action.data);
  }
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Execute(Shard* shard, SendEndAction& action) {
  const auto found = shard->streams.find(action.request);
  if (found != shard->streams.end()) {
    found->second->End();
    shard->streams.erase(found);
  }
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::RouteAction(Shard* from, SchedulerAction action) {
  RequestId id;
  if (const auto* share = std::get_if<SendDigestAction>(&action)) {
    hooks_.share_digest(share->digest);
    return;
  }
  if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
    id = dispatch->request;
  } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
    id = refuse->request;
  }
  Shard* owner = ShardOf(id);
  // The shard that returned the action does not have the request. When that is
  // the request's own shard, the request is over and the action is dropped.
  if (owner != from) {
    owner->client->Post(SchedulerActionEvent{std::move(action)});
  }
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Execute(Shard* shard,
                                      ForwardSchedulerAction& action) {
  RouteAction(shard, std::move(action.action));
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::RouteActions(
    std::vector<SchedulerAction> actions) {
  for (SchedulerAction& action : actions) {
    RouteAction(nullptr, std::move(action));
  }
}

template <SchedulerLike Scheduler>
void EntryRuntime<Scheduler>::Tick() {
  std::vector<SchedulerAction> actions;
  scheduler_->OnTick(MonotonicNow(), &actions);
  RouteActions(std::move(actions));
  PostAll(EntryTickEvent{});
}

template <SchedulerLike Scheduler>
size_t EntryRuntime<Scheduler>::in_progress() const {
  size_t count = 0;
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    count += shard->state_machine.in_progress();
  }
  return count;
}

template <SchedulerLike Scheduler>
bool EntryRuntime<Scheduler>::IsReady() const {
  const MonoTime now = MonotonicNow();
  for (const auto& shard : shards_) {
    absl::MutexLock lock(&shard->mutex);
    if (!shard->state_machine.IsReady(now)) {
      return false;
    }
  }
  return true;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ENTRY_RUNTIME_H_
