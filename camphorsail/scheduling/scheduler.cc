#include "camphorsail/scheduling/scheduler.h"

#include <algorithm>
#include <cassert>

#include "camphorsail/scheduling/admission_controller.h"

namespace camphorsail {
namespace {

// The configured number of VMs is assumed for this long after the start; by
// then the digests of all peers have arrived.
constexpr absl::Duration kStartupPeriod = absl::Seconds(2);
// Lower-tier work on a full server is preempted only after a request of the
// tier has used this fraction of its slack; until then requests wait for a free
// slot. The highest tier preempts at once, because all lower tiers would wait
// behind it.
constexpr double kPreemptFraction = 0.2;
// Lower tiers are closed on all VMs when a request has used, or will probably
// use, this fraction of its slack, so that they are closed before a request of
// this tier is refused.
constexpr double kOverloadFraction = 0.2;
// Lower tiers stay closed for this long after the last sign of a lack of
// capacity.
constexpr absl::Duration kOverloadHoldTime = absl::Milliseconds(500);
// This many requests of a class may wait even when they will probably be
// refused, so that the class's guaranteed share has a request to dispatch.
constexpr size_t kMinWaitingPerClass = 2;
// An answer that is late is still completed. An attempt is abandoned only when
// the server seems to hang: after this multiple of the total target plus the
// margin, counted from the request's arrival.
constexpr int kAttemptDeadlineFactor = 4;
constexpr absl::Duration kAttemptDeadlineMargin = absl::Seconds(30);
// A longer gap between tokens is caused by preemption and says nothing about
// the server's speed.
constexpr absl::Duration kLongestTokenGap = absl::Seconds(1);

}  // namespace

Expected<std::unique_ptr<Scheduler>> Scheduler::Create(
    const SchedulerSettings& settings) {
  if (Expected<void> valid = settings.Validate(); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  return std::unique_ptr<Scheduler>(new Scheduler(settings));
}

Scheduler::Scheduler(const SchedulerSettings& settings)
    : settings_(settings),
      lengths_(settings.length_plan, settings.length_quantile),
      router_(settings.failure_domain, settings.candidates, settings.seed),
      live_vm_count_(settings.vm_count) {}

// The pools' destructors unlink the requests from their lists, so the pools are
// destroyed before the requests.
Scheduler::~Scheduler() {
  pools_.clear();
}

void Scheduler::OnArrival(const RequestDescriptor& descriptor,
                          MonoTime now,
                          Actions* actions) {
  const int target = InternTarget(descriptor.kind, descriptor.target);
  auto owned = std::make_unique<RequestState>();
  RequestState* request = owned.get();
  request->descriptor = descriptor;
  request->target = target;
  request->pool = target_pools_[target];
  const ClassInfo& info = Intern(descriptor);
  request->account = info.account;
  request->class_index = info.class_index;
  request->account_class = info.account_class;
  retry_budgets_[info.class_index].OnRequest(descriptor.retry_budget_ratio);
  Pool* pool = request->pool;
  if (pool == nullptr || pool->servers.empty()) {
    actions->emplace_back(RefuseAction{
        descriptor.request,
        Error{ErrorKind::kNoBackendServer,
              "no backend server is available for " + descriptor.target.value(),
              absl::Seconds(1)}});
    return;
  }
  UpdateEstimates(request);
  pool->demand.OnArrival(descriptor.tier, request->work, now);
  pool->outstanding[descriptor.tier.value()] += request->expected.value();
  Pool::ClassQueue& class_queue = pool->classes[info.class_index];
  class_queue.share_ratio = descriptor.guaranteed_share;
  class_queue.tier = descriptor.tier;
  class_queue.class_id = descriptor.class_id;
  requests_.emplace(descriptor.request, std::move(owned));
  const absl::Duration wait =
      AdmissionController::PredictedWait(*pool, descriptor.tier);
  const absl::Duration slack = request->latest_start - now;
  if (wait > slack * kOverloadFraction) {
    pool->gate.MarkOverloaded(descriptor.tier, now + kOverloadHoldTime, now);
  }
  if (wait > slack && class_queue.waiting.size() >= kMinWaitingPerClass &&
      pool->gate.LowerTiersClosed(descriptor.tier, now)) {
    Refuse(request, ErrorKind::kOverloaded, now, actions);
  } else {
    Enqueue(request);
    DispatchWaiting(pool, now, actions);
  }
  SendDigestIfDue(now, actions);
}

void Scheduler::OnTokens(RequestId id, Tokens tokens, MonoTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second->server == nullptr ||
      tokens.value() <= 0) {
    return;
  }
  RequestState& request = *it->second;
  Pool& pool = *request.pool;
  const bool first = request.attempt_tokens.value() == 0;
  const absl::Duration gap =
      now - (first ? request.dispatched_at : request.last_token_at);
  if (first) {
    if (request.uncached_prompt_tokens.value() > 0) {
      pool.speed.OnPrompt(
          absl::ToDoubleSeconds(gap) /
          static_cast<double>(request.uncached_prompt_tokens.value()));
    }
  } else if (gap <= kLongestTokenGap) {
    double seconds = 0;
    if (request.server->ObserveTokens(gap, tokens, &seconds)) {
      const double load = request.server->Load(now);
      request.server->health.OnTimeRatio(seconds / pool.speed.Median(load));
      pool.speed.OnToken(seconds, load);
      UpdatePoolOf(request.server, now);
    }
  }
  request.last_token_at = now;
  request.attempt_tokens = request.attempt_tokens + tokens;
  request.received = request.received + tokens;
  if (request.received >= request.expected) {
    const Tokens longer =
        lengths_.Expected(request.account_class, request.class_index,
                          request.descriptor.prompt_tokens, request.received,
                          std::max(request.descriptor.max_output_tokens,
                                   request.received + Tokens(1)));
    pool.outstanding[request.descriptor.tier.value()] +=
        (longer - request.expected).value();
    request.expected = longer;
  }
}

void Scheduler::OnAttemptFinished(const AttemptOutcome& outcome,
                                  MonoTime now,
                                  Actions* actions) {
  const auto it = requests_.find(outcome.request);
  // The outcome of an older attempt must not end the current one.
  if (it == requests_.end() || it->second->server == nullptr ||
      it->second->attempt != outcome.attempt) {
    return;
  }
  RequestState* request = it->second.get();
  Pool* pool = request->pool;
  ServerState* server = request->server;
  const bool completed = outcome.result == AttemptResult::kCompleted;
  if (outcome.result != AttemptResult::kCancelled) {
    server->health.OnResult(completed, now);
  }
  if (completed) {
    if (pool->kind == ServerKind::kService) {
      const double seconds =
          absl::ToDoubleSeconds(now - request->dispatched_at);
      server->health.OnTimeRatio(
          seconds * 1000 / static_cast<double>(request->expected.value()));
      lengths_.Add(
          request->account_class, request->class_index,
          request->descriptor.prompt_tokens,
          Tokens(std::max<int64_t>(
              1, absl::ToInt64Milliseconds(now - request->dispatched_at))));
    } else {
      lengths_.Add(request->account_class, request->class_index,
                   request->descriptor.prompt_tokens,
                   std::max(request->received, outcome.output_tokens));
    }
  }
  EndAttempt(request, now);
  if (completed && pool->kind == ServerKind::kModelEngine) {
    // Work beyond the expected amount is charged to the guaranteed share too.
    // An answer that took less work than expected gives no refund: the credit
    // is bounded from below, so the earlier charge may not have taken full
    // effect.
    pool->classes[request->class_index].share.Charge(
        std::max(0.0, AdmissionController::TotalWork(*pool, *request) -
                          request->charged_work));
  }
  if (completed || outcome.result == AttemptResult::kCancelled) {
    Erase(request);
  } else {
    Retry(request, outcome.result, now, actions);
  }
  DispatchWaiting(pool, now, actions);
  SendDigestIfDue(now, actions);
}

void Scheduler::Retry(RequestState* request,
                      AttemptResult result,
                      MonoTime now,
                      Actions* actions) {
  const bool not_run =
      result == AttemptResult::kRejected || result == AttemptResult::kNotSent;
  const RequestDescriptor& descriptor = request->descriptor;
  if (!not_run && !descriptor.idempotent) {
    Refuse(request, ErrorKind::kBackendFailed, now, actions);
    return;
  }
  if (now >= descriptor.arrival + descriptor.total_target) {
    Refuse(request,
           result == AttemptResult::kTimedOut ? ErrorKind::kBackendTimeout
                                              : ErrorKind::kBackendFailed,
           now, actions);
    return;
  }
  if (!retry_budgets_[request->class_index].TrySpend()) {
    Refuse(request, ErrorKind::kRetryBudgetExhausted, now, actions);
    return;
  }
  UpdateEstimates(request);
  Enqueue(request);
}

void Scheduler::OnCallerGone(RequestId id, MonoTime now, Actions* actions) {
  const auto it = requests_.find(id);
  // The code that calls this class cancels a running attempt and reports its
  // end through `OnAttemptFinished`.
  if (it == requests_.end() || !it->second->queued) {
    return;
  }
  Pool* pool = it->second->pool;
  Dequeue(it->second.get());
  Erase(it->second.get());
  DispatchWaiting(pool, now, actions);
  SendDigestIfDue(now, actions);
}

void Scheduler::OnTick(MonoTime now, Actions* actions) {
  if (!has_started_) {
    has_started_ = true;
    started_at_ = now;
    UpdateSlots(now);
  }
  int live = 1;
  int rank = 0;
  for (const auto& [vm, peer] : peers_) {
    if (now - peer.last_digest_at < TierGate::kPeerTimeout) {
      ++live;
      rank += vm < settings_.vm ? 1 : 0;
    }
  }
  if (now - started_at_ < kStartupPeriod) {
    live = std::max(live, settings_.vm_count);
  }
  if (live != live_vm_count_ || rank != rank_) {
    live_vm_count_ = live;
    rank_ = rank;
    UpdateSlots(now);
  }
  for (const auto& [id, server] : servers_) {
    if (server->health.is_outlier()) {
      UpdatePoolOf(server.get(), now);
    }
  }
  std::erase_if(retired_, [](const std::unique_ptr<ServerState>& server) {
    return server->own_request_count() == 0;
  });
  for (const std::unique_ptr<Pool>& pool : pools_) {
    pool->demand.Advance(now);
    pool->due_classes.clear();
    for (auto& [index, queue] : pool->classes) {
      const double rate = queue.share_ratio * pool->servers.total_slots();
      queue.share.Advance(rate, now);
      const RequestState* head = queue.waiting.Front();
      if (head != nullptr && queue.share.Covers(head->work, rate) &&
          head->WaitTime(now) >=
              head->Slack() * AdmissionController::kAgingFraction) {
        pool->due_classes.push_back(index);
      }
    }
    for (uint8_t t = 0; t < kTierCount; ++t) {
      if (pool->MaxSlackUsed(Tier(t), now) > kOverloadFraction) {
        pool->gate.MarkOverloaded(Tier(t), now + kOverloadHoldTime, now);
      }
    }
    Expire(pool.get(), now, actions);
    DispatchWaiting(pool.get(), now, actions);
  }
  SendDigestIfDue(now, actions);
}

void Scheduler::UpdateEstimates(RequestState* request) {
  const RequestDescriptor& descriptor = request->descriptor;
  // The length of a service call is its duration: one token stands for one
  // millisecond.
  const Tokens bound =
      descriptor.kind == ServerKind::kService &&
              settings_.length_plan != LengthPlan::kMaximum
          ? Tokens(absl::ToInt64Milliseconds(descriptor.total_target))
          : descriptor.max_output_tokens;
  const Tokens maximum = std::max(bound, request->received + Tokens(1));
  request->planned =
      lengths_.Planned(request->account_class, request->class_index,
                       descriptor.prompt_tokens, request->received, maximum);
  request->expected =
      lengths_.Expected(request->account_class, request->class_index,
                        descriptor.prompt_tokens, request->received, maximum);
  request->band = FairQueue::BandOf(request->expected);
  request->work = AdmissionController::RemainingWork(*request->pool, *request,
                                                     request->expected);
  request->latest_start =
      AdmissionController::LatestStart(*request->pool, *request);
}

void Scheduler::Enqueue(RequestState* request) {
  Pool* pool = request->pool;
  pool->queue.Push(request);
  if (!request->accepted) {
    pool->classes[request->class_index].waiting.PushBack(request);
    pool->waiting_by_latest_start.insert(
        {request->latest_start, request->descriptor.request});
  }
}

void Scheduler::Dequeue(RequestState* request) {
  Pool* pool = request->pool;
  pool->queue.Remove(request);
  if (!request->accepted) {
    pool->classes[request->class_index].waiting.Remove(request);
    pool->waiting_by_latest_start.erase(
        {request->latest_start, request->descriptor.request});
  }
}

void Scheduler::DispatchGuaranteed(Pool* pool, MonoTime now, Actions* actions) {
  while (!pool->due_classes.empty()) {
    Pool::ClassQueue& queue = pool->classes[pool->due_classes.back()];
    RequestState* request = queue.waiting.Front();
    if (request == nullptr) {
      pool->due_classes.pop_back();
      continue;
    }
    // Only a free slot is used: a guaranteed request may delay requests of
    // higher tiers but does not preempt running ones.
    ServerState* server =
        router_.Choose(*pool, *request, request->descriptor.tier,
                       /*preempt=*/false, now);
    if (server == nullptr) {
      return;
    }
    pool->due_classes.pop_back();
    Dispatch(request, server, /*guaranteed=*/true, now, actions);
  }
}

void Scheduler::DispatchWaiting(Pool* pool, MonoTime now, Actions* actions) {
  DispatchGuaranteed(pool, now, actions);
  for (uint8_t t = 0; t < kTierCount; ++t) {
    const Tier tier(t);
    while (RequestState* request = pool->queue.Peek(tier, now)) {
      // Lower tiers must not overtake a waiting request, so each of the
      // following conditions ends the loop over all tiers.
      if (!request->accepted &&
          (pool->gate.IsClosed(tier, now) ||
           !AdmissionController::FitsBelowPeak(*pool, *request, now))) {
        return;
      }
      // A service call that has started cannot be preempted.
      const bool preempt = pool->kind == ServerKind::kModelEngine &&
                           (request->accepted || t == 0 ||
                            pool->MaxSlackUsed(tier, now) >= kPreemptFraction);
      // Keeps slots free so that requests of higher tiers need not preempt.
      // Accepted requests always have `preempt` set and skip this check, except
      // service calls, for which `reserve` is 0.
      const int reserve = AdmissionController::ReservedSlots(*pool, tier);
      if (!preempt && reserve > 0 &&
          (pool->servers.free_slots() <= reserve ||
           pool->servers.preempted_requests() > 0)) {
        return;
      }
      ServerState* server = router_.Choose(*pool, *request, tier, preempt, now);
      if (server == nullptr) {
        return;
      }
      Dispatch(request, server, /*guaranteed=*/false, now, actions);
    }
  }
}

void Scheduler::Dispatch(RequestState* request,
                         ServerState* server,
                         bool guaranteed,
                         MonoTime now,
                         Actions* actions) {
  Pool* pool = request->pool;
  const RequestDescriptor& descriptor = request->descriptor;
  // A request accepted from the guaranteed share counts as one tier higher, in
  // which the engine runs requests in order of arrival. Later requests of that
  // tier therefore cannot preempt it, and it cannot preempt theirs.
  const Tier effective_tier =
      guaranteed && descriptor.tier.value() > 0
          ? Tier(static_cast<uint8_t>(descriptor.tier.value() - 1))
          : descriptor.tier;
  Dequeue(request);
  pool->queue.Charge(*request);
  if (!request->accepted) {
    request->charged_work = request->work;
    Pool::ClassQueue& class_queue = pool->classes[request->class_index];
    class_queue.beyond_guarantee |= !guaranteed;
    class_queue.share.Charge(request->charged_work);
  }
  request->accepted = true;
  request->server = server;
  request->attempt = AttemptNumber(request->attempt.value() + 1);
  request->effective_tier = effective_tier;
  request->dispatched_at = now;
  request->attempt_tokens = Tokens(0);
  const PrefixIndex::Hit hit =
      pool->prefixes.Find(descriptor.prefix_hashes, now);
  request->uncached_prompt_tokens =
      hit.server == server ? Tokens(0) : descriptor.prompt_tokens;
  pool->prefixes.Record(descriptor.prefix_hashes, server, now);
  pool->running_work[descriptor.tier.value()] += request->work;
  ++pool->running[descriptor.tier.value()];
  server->OnDispatch(effective_tier, now);
  UpdatePoolOf(server, now);
  actions->emplace_back(DispatchAction{
      descriptor.request, request->attempt, server->id, server->incarnation,
      effective_tier.value(),
      descriptor.arrival + descriptor.total_target * kAttemptDeadlineFactor +
          kAttemptDeadlineMargin});
}

void Scheduler::Refuse(RequestState* request,
                       ErrorKind kind,
                       MonoTime now,
                       Actions* actions) {
  Pool* pool = request->pool;
  const RequestDescriptor& descriptor = request->descriptor;
  absl::Duration retry_after = absl::Seconds(1);
  std::string message = "the last attempt on a backend server did not succeed";
  if (!request->accepted) {
    // Until the refused request's first-token target has passed, no request of
    // a lower tier may be accepted in its place.
    pool->gate.MarkOverloaded(descriptor.tier,
                              descriptor.arrival + descriptor.ttft_target, now);
    retry_after = AdmissionController::RetryAfter(*pool, *request, now);
    message = "no backend server can answer within the time targets of class " +
              descriptor.class_id.value();
  }
  actions->emplace_back(RefuseAction{
      descriptor.request, Error{kind, std::move(message), retry_after}});
  Erase(request);
}

void Scheduler::Expire(Pool* pool, MonoTime now, Actions* actions) {
  // A request is refused at its latest start only when all peers have closed
  // the tiers below; otherwise it waits until its first-token target has
  // passed. The lowest tier needs no confirmation.
  std::vector<RequestState*> expired;
  for (const auto& [latest, id] : pool->waiting_by_latest_start) {
    if (latest > now) {
      break;
    }
    expired.push_back(requests_.at(id).get());
  }
  for (RequestState* request : expired) {
    const RequestDescriptor& descriptor = request->descriptor;
    if (!pool->gate.LowerTiersClosed(descriptor.tier, now) &&
        now < descriptor.arrival + descriptor.ttft_target) {
      pool->gate.MarkOverloaded(descriptor.tier, now + kOverloadHoldTime, now);
      continue;
    }
    Dequeue(request);
    Refuse(request,
           pool->servers.empty() ? ErrorKind::kNoBackendServer
                                 : ErrorKind::kOverloaded,
           now, actions);
  }
}

void Scheduler::EndAttempt(RequestState* request, MonoTime now) {
  Pool* pool = request->pool;
  ServerState* server = request->server;
  request->server = nullptr;
  double& running = pool->running_work[request->descriptor.tier.value()];
  running = std::max(0.0, running - request->work);
  --pool->running[request->descriptor.tier.value()];
  server->OnFinished(request->effective_tier, now);
  UpdatePoolOf(server, now);
}

void Scheduler::Erase(RequestState* request) {
  int64_t& outstanding =
      request->pool->outstanding[request->descriptor.tier.value()];
  outstanding -= request->expected.value();
  requests_.erase(request->descriptor.request);
}

}  // namespace camphorsail
