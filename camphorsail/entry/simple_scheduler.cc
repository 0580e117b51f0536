#include "camphorsail/entry/simple_scheduler.h"

#include <algorithm>

namespace camphorsail {
namespace {

constexpr uint32_t kMaxAttempts = 4;
constexpr size_t kMaxQueued = 4096;
// For this long after a failure, other servers are preferred to the server.
constexpr absl::Duration kAvoidAfterFailureTime = absl::Seconds(2);

}  // namespace

void SimpleScheduler::OnArrival(const RequestDescriptor& request,
                                MonoTime now,
                                Actions* actions) {
  requests_[request.request].descriptor = request;
  DispatchOrQueue(request.request, now, actions);
}

void SimpleScheduler::OnAttemptFinished(const AttemptOutcome& outcome,
                                        MonoTime now,
                                        Actions* actions) {
  const auto found = requests_.find(outcome.request);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  ReleaseSlot(&request);
  const AttemptResult result = outcome.result;
  if (result == AttemptResult::kCompleted ||
      result == AttemptResult::kCancelled) {
    requests_.erase(found);
  } else {
    request.failed_server = outcome.server;
    if (const auto server = servers_.find(outcome.server);
        server != servers_.end()) {
      server->second.avoid_until = now + kAvoidAfterFailureTime;
    }
    const bool may_retry = request.descriptor.idempotent ||
                           result == AttemptResult::kNotSent ||
                           result == AttemptResult::kRejected;
    if (may_retry && request.attempts < kMaxAttempts) {
      DispatchOrQueue(outcome.request, now, actions);
    } else {
      const ErrorKind kind = result == AttemptResult::kTimedOut
                                 ? ErrorKind::kBackendTimeout
                                 : ErrorKind::kBackendFailed;
      Refuse(outcome.request,
             {kind, "the backend server failed", absl::Seconds(1)}, actions);
    }
  }
  DispatchQueued(now, actions);
}

void SimpleScheduler::OnCallerGone(RequestId id,
                                   MonoTime now,
                                   Actions* actions) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  ReleaseSlot(&found->second);
  requests_.erase(found);
  DispatchQueued(now, actions);
}

void SimpleScheduler::OnServerView(const ServerView& view,
                                   MonoTime now,
                                   Actions* actions) {
  Server& server = servers_[view.server];
  if (server.view.incarnation != view.incarnation) {
    server.avoid_until = MonoTime();
  }
  server.view = view;
  server.accepts = true;
  DispatchQueued(now, actions);
}

void SimpleScheduler::OnServerRemoved(const BackendServerId& server,
                                      MonoTime now,
                                      Actions* actions) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.accepts = false;
  if (found->second.outstanding == 0) {
    servers_.erase(found);
  }
  DispatchQueued(now, actions);
}

void SimpleScheduler::OnTick(MonoTime now, Actions* actions) {
  // Refuses queued requests whose deadline has passed.
  std::vector<RequestId> expired;
  for (RequestId id : queue_) {
    const auto found = requests_.find(id);
    if (found != requests_.end() &&
        now > found->second.descriptor.arrival +
                  found->second.descriptor.total_target) {
      expired.push_back(id);
    }
  }
  for (RequestId id : expired) {
    Refuse(id,
           {ErrorKind::kDeadlineUnreachable,
            "no capacity before the request's deadline", absl::Seconds(1)},
           actions);
  }
  DispatchQueued(now, actions);
}

void SimpleScheduler::ReleaseSlot(Request* request) {
  if (request->server == BackendServerId()) {
    return;
  }
  const auto found = servers_.find(request->server);
  request->server = BackendServerId();
  if (found == servers_.end()) {
    return;
  }
  if (--found->second.outstanding == 0 && !found->second.accepts) {
    servers_.erase(found);
  }
}

void SimpleScheduler::DispatchOrQueue(RequestId id,
                                      MonoTime now,
                                      Actions* actions) {
  Request& request = requests_.at(id);
  Server* best = nullptr;
  bool has_target = false;
  const auto rank = [&](const Server& server) {
    const bool avoid =
        now < server.avoid_until || server.view.server == request.failed_server;
    return std::make_pair(avoid, server.outstanding);
  };
  for (auto& [server_id, server] : servers_) {
    const std::vector<ModelId>& targets = server.view.targets;
    if (!server.accepts || server.view.kind != request.descriptor.kind ||
        std::find(targets.begin(), targets.end(), request.descriptor.target) ==
            targets.end()) {
      continue;
    }
    has_target = true;
    if (server.outstanding < server.view.capacity &&
        (best == nullptr || rank(server) < rank(*best))) {
      best = &server;
    }
  }
  if (!has_target) {
    Refuse(id,
           {ErrorKind::kNoBackendServer,
            "no backend server offers the requested model or service",
            absl::Seconds(1)},
           actions);
    return;
  }
  if (best == nullptr) {
    if (queue_.size() >= kMaxQueued) {
      Refuse(id,
             {ErrorKind::kOverloaded, "the queue is full", absl::Seconds(1)},
             actions);
      return;
    }
    queue_.push_back(id);
    return;
  }
  ++best->outstanding;
  request.server = best->view.server;
  ++request.attempts;
  const RequestDescriptor& descriptor = request.descriptor;
  actions->push_back(
      DispatchAction{id, AttemptNumber(request.attempts), best->view.server,
                     best->view.incarnation, descriptor.tier.value(),
                     descriptor.arrival + descriptor.total_target});
}

void SimpleScheduler::DispatchQueued(MonoTime now, Actions* actions) {
  // `DispatchOrQueue` queues requests again that still find no capacity, in the
  // same order.
  std::deque<RequestId> queue;
  queue.swap(queue_);
  for (RequestId id : queue) {
    if (requests_.contains(id)) {
      DispatchOrQueue(id, now, actions);
    }
  }
}

void SimpleScheduler::Refuse(RequestId id, Error error, Actions* actions) {
  requests_.erase(id);
  actions->push_back(RefuseAction{id, std::move(error)});
}

}  // namespace camphorsail
