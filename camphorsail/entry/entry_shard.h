#ifndef CAMPHORSAIL_ENTRY_ENTRY_SHARD_H_
#define CAMPHORSAIL_ENTRY_ENTRY_SHARD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/entry/entry_action.h"
#include "camphorsail/entry/entry_event.h"
#include "camphorsail/entry/entry_request.h"
#include "camphorsail/entry/entry_shard_settings.h"
#include "camphorsail/limits/request_limits.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// The request path of one shard as a deterministic state machine: `Step` takes
/// one event and returns the actions to carry out. It authenticates and checks
/// requests, asks the ledger and the scheduler, starts backend calls and
/// assembles the answers. It does no I/O and reads no clock. Not thread-safe:
/// used by one thread or under the shard's lock.
///
/// @tparam Scheduler Decides where and when requests run. All shards of a VM
///     share it, so it must be thread-safe when there is more than one shard.
template <SchedulerLike Scheduler>
class EntryShard {
 public:
  /// @param settings Valid settings.
  /// @param scheduler The scheduler; must outlive the shard.
  /// @param limits Account limits, shared by the shards of a VM; must outlive
  ///     the shard.
  EntryShard(const EntryShardSettings& settings,
             Scheduler* scheduler,
             RequestLimits* limits)
      : settings_(settings), scheduler_(scheduler), limits_(limits) {}

  /// Applies one event.
  ///
  /// @param event The event.
  /// @param now The VM's monotonic time.
  /// @param actions Receives the actions to carry out, appended in order.
  void Step(EntryEvent event, MonoTime now, std::vector<EntryAction>* actions);

  /// @return Number of requests that have not ended.
  size_t in_progress() const { return requests_.size(); }
  /// @return True when new requests are accepted at this time.
  bool IsReady(MonoTime now) const {
    return effective_settings_ && !draining_ && now < lease_valid_until_;
  }

 private:
  using Request = EntryRequest;
  using Phase = EntryRequest::Phase;
  using DecisionInputs = std::vector<std::pair<std::string, std::string>>;

  void On(RequestArrivedEvent& event);
  void On(BodyCompleteEvent& event);
  void On(BodyFailedEvent& event);
  void On(BackendHeadersEvent& event);
  void On(BackendDataEvent& event);
  void On(BackendEndEvent& event);
  void On(BackendFailureEvent& event);
  void On(CallerGoneEvent& event);
  void On(AnswerBytesConsumedEvent& event);
  void On(LedgerAnswer& event);
  void On(SchedulerActionEvent& event);
  void On(EntryTickEvent& event);
  void On(EffectiveSettingsEvent& event) {
    effective_settings_ = std::move(event.effective_settings);
  }
  void On(LeaseEvent& event) { lease_valid_until_ = event.lease_valid_until; }
  void On(TargetsEvent& event) { targets_ = std::move(event); }
  void On(DrainEvent& /*event*/) { draining_ = true; }

  // Defined in entry_shard_admission.h.
  Request* Find(RequestId id);
  Request* FindAttempt(const AttemptId& attempt);
  Expected<void> CheckAdmission() const;
  Expected<void> PrepareModelRequest(Request* request);
  Expected<void> PrepareServiceRequest(Request* request);
  bool IsKnownModel(const ModelId& model) const;
  void AnswerModels(Request* request);
  void CheckLimits(Request* request, RequestLimits::Try attempt);
  void StartAdmitted(Request* request);
  void Schedule(Request* request);

  // Defined in entry_shard_attempt.h.
  void RunSchedulerActions();
  void StartAttempt(Request* request, const DispatchAction& dispatch);
  void OnStreamData(Request* request, const std::string& data);
  void CompleteStream(Request* request);
  void OnUnstreamedAnswer(Request* request);
  void FinishAttempt(Request* request, AttemptResult result);
  void AttemptFailed(Request* request,
                     AttemptResult result,
                     const std::string& message);

  // Defined in entry_shard_answer.h.
  void SendStreamData(Request* request, std::string data);
  void SendComplete(Request* request,
                    int status,
                    std::string content_type,
                    std::string body,
                    absl::Duration retry_after = absl::ZeroDuration());
  void CompleteRequest(Request* request, int status);
  void FailRequest(Request* request, Error error);
  void RemoveFromScheduler(Request* request);
  void CloseLedger(Request* request, LedgerOutcome outcome);
  void CloseLedgerWithoutAnswer(Request* request, LedgerOutcome::Kind kind);
  void ChargeTokens(Request* request, Tokens tokens);
  /// Removes a request that has ended, whether it succeeded or failed. This is
  /// the only place that gives its slot of the account's concurrency limit
  /// back.
  void Erase(Request* request) {
    if (request->holds_concurrency_slot) {
      limits_->Release(request->headers.account->account, now_);
    }
    requests_.erase(request->id);
  }

  /// Appends an action to the result of the current `Step`.
  void Emit(EntryAction action) { actions_->push_back(std::move(action)); }
  /// Emits a `TimelineAction` for one decision about a request.
  void RecordDecision(const Request& request,
                      std::string decision,
                      std::string reason,
                      DecisionInputs inputs) {
    TimelineAction action;
    action.request = request.id;
    if (request.headers.account != nullptr) {
      action.account = request.headers.account->account;
    }
    if (request.headers.effective_class != nullptr) {
      action.class_id = request.headers.effective_class->class_id;
    }
    action.server = request.server;
    action.decision = std::move(decision);
    action.reason = std::move(reason);
    action.inputs = std::move(inputs);
    action.time_since_arrival = now_ - request.arrival;
    if (request.first_byte > request.arrival) {
      action.time_to_first_byte = request.first_byte - request.arrival;
    }
    Emit(std::move(action));
  }

  const EntryShardSettings settings_;
  Scheduler* const scheduler_;
  RequestLimits* const limits_;
  Ref<EffectiveSettings> effective_settings_;
  /// End of the admission lease. Requests are admitted and sent to backend
  /// servers only before this time.
  MonoTime lease_valid_until_;
  bool draining_ = false;
  TargetsEvent targets_;
  absl::flat_hash_map<RequestId, std::unique_ptr<Request>> requests_;
  /// Scheduler actions that have not been applied yet.
  std::vector<SchedulerAction> scheduler_actions_;

  /// Time of the current `Step`; `actions_` is its result.
  MonoTime now_;
  std::vector<EntryAction>* actions_ = nullptr;
};

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(SchedulerActionEvent& event) {
  RequestId id;
  if (const auto* dispatch = std::get_if<DispatchAction>(&event.action)) {
    id = dispatch->request;
  } else if (const auto* refuse = std::get_if<RefuseAction>(&event.action)) {
    id = refuse->request;
  }
  // The request may have ended in the meantime; the scheduler was notified of
  // that when it happened.
  if (requests_.contains(id)) {
    scheduler_actions_.push_back(std::move(event.action));
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::Step(EntryEvent event,
                                 MonoTime now,
                                 std::vector<EntryAction>* actions) {
  now_ = now;
  actions_ = actions;
  std::visit([this](auto& e) { this->On(e); }, event);
  RunSchedulerActions();
  actions_ = nullptr;
}

}  // namespace camphorsail

#include "camphorsail/entry/entry_shard_admission.h"  // IWYU pragma: export
#include "camphorsail/entry/entry_shard_answer.h"     // IWYU pragma: export
#include "camphorsail/entry/entry_shard_attempt.h"    // IWYU pragma: export

#endif  // CAMPHORSAIL_ENTRY_ENTRY_SHARD_H_
