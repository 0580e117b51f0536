#ifndef CAMPHORSAIL_ENTRY_ENTRY_SHARD_ADMISSION_H_
#define CAMPHORSAIL_ENTRY_ENTRY_SHARD_ADMISSION_H_

// Member functions of EntryShard for the steps from a request's headers until
// it is passed to the scheduler. Included by entry_shard.h.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "camphorsail/base/release_memory.h"
#include "camphorsail/entry/entry_shard.h"
#include "camphorsail/entry/error_answer.h"
#include "camphorsail/entry/prefix_hash.h"
#include "camphorsail/entry/sha256.h"
#include "camphorsail/limits/account_limits.h"

namespace camphorsail {

template <SchedulerLike Scheduler>
EntryRequest* EntryShard<Scheduler>::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

template <SchedulerLike Scheduler>
EntryRequest* EntryShard<Scheduler>::FindAttempt(const AttemptId& attempt) {
  Request* request = Find(attempt.request);
  return request != nullptr && request->attempt == attempt ? request : nullptr;
}

template <SchedulerLike Scheduler>
Expected<void> EntryShard<Scheduler>::CheckAdmission() const {
  if (draining_) {
    return Fail(ErrorKind::kShuttingDown, "this router is stopping");
  }
  if (now_ >= lease_valid_until_) {
    return Fail(ErrorKind::kLeaseExpired,
                "this router has no valid admission lease");
  }
  return {};
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(RequestArrivedEvent& event) {
  auto owned = std::make_unique<Request>();
  Request* request = owned.get();
  request->id = event.request;
  request->arrival = now_;
  request->phase_start = now_;
  request->effective_settings = effective_settings_;
  requests_[event.request] = std::move(owned);
  if (!effective_settings_) {
    FailRequest(request,
                {ErrorKind::kNotReady, "this router has no settings yet"});
    return;
  }
  Expected<void> checked =
      CheckHeaders(event, *effective_settings_, &request->headers);
  if (checked) {
    checked = CheckAdmission();
  }
  if (!checked) {
    FailRequest(request, checked.error());
    return;
  }
  request->path = std::move(event.path);
  request->content_type = std::move(event.content_type);
  if (!request->headers.idempotent) {
    request->ledger_key = IdempotencyKey(event.idempotency_key.empty()
                                             ? FormatRequestId(event.request)
                                             : event.idempotency_key);
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BodyFailedEvent& event) {
  if (Request* request = Find(event.request)) {
    FailRequest(request, std::move(event.error));
  }
}

template <SchedulerLike Scheduler>
bool EntryShard<Scheduler>::IsKnownModel(const ModelId& model) const {
  if (std::find(targets_.models.begin(), targets_.models.end(), model) !=
      targets_.models.end()) {
    return true;
  }
  for (const auto& [id, account] : effective_settings_->accounts) {
    for (const EffectiveClass& effective_class : account.classes) {
      if (effective_class.default_model == model) {
        return true;
      }
    }
  }
  return false;
}

template <SchedulerLike Scheduler>
Expected<void> EntryShard<Scheduler>::PrepareModelRequest(Request* request) {
  const EffectiveClass& effective_class = *request->headers.effective_class;
  const bool chat =
      request->headers.endpoint == CallerEndpoint::kChatCompletions;
  Expected<ModelRequest> parsed = ParseModelRequest(chat, request->body);
  if (!parsed) {
    return tl::unexpected<Error>(parsed.error());
  }
  request->model = *std::move(parsed);
  request->target = request->model.model.value().empty()
                        ? effective_class.default_model
                        : request->model.model;
  if (request->target.value().empty()) {
    return Fail(ErrorKind::kUnknownModel,
                "the request names no model and its class has no default");
  }
  if (!IsKnownModel(request->target)) {
    return Fail(ErrorKind::kUnknownModel, "the model is not known");
  }
  request->max_tokens = effective_class.max_output_tokens;
  if (request->model.max_tokens.value() > 0) {
    request->max_tokens =
        std::min(request->max_tokens, request->model.max_tokens);
  }
  if (!request->model.needs_unstreamed_answer) {
    request->answer.emplace(chat);
  } else if (request->model.streamed) {
    return Fail(ErrorKind::kInvalidRequest,
                "several choices, tools and log probabilities are available "
                "without \"stream\" only");
  }
  return {};
}

template <SchedulerLike Scheduler>
Expected<void> EntryShard<Scheduler>::PrepareServiceRequest(Request* request) {
  request->target = request->headers.service;
  if (std::find(targets_.services.begin(), targets_.services.end(),
                request->target) == targets_.services.end()) {
    return Fail(ErrorKind::kUnknownService, "the service is not known");
  }
  return {};
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::AnswerModels(Request* request) {
  nlohmann::ordered_json answer;
  answer["object"] = "list";
  answer["data"] = nlohmann::ordered_json::array();
  for (const ModelId& model : targets_.models) {
    nlohmann::ordered_json entry;
    entry["id"] = model.value();
    entry["object"] = "model";
    entry["created"] = 0;
    entry["owned_by"] = "camphorsail";
    answer["data"].push_back(std::move(entry));
  }
  SendComplete(request, 200, "application/json", answer.dump());
  Erase(request);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BodyCompleteEvent& event) {
  Request* request = Find(event.request);
  if (request == nullptr || request->phase != Phase::kReadingBody) {
    return;
  }
  request->body = std::move(event.body);
  if (request->headers.endpoint == CallerEndpoint::kModels) {
    AnswerModels(request);
    return;
  }
  Expected<void> checked = request->is_model() ? PrepareModelRequest(request)
                                               : PrepareServiceRequest(request);
  if (checked) {
    checked = CheckAdmission();
  }
  if (!checked) {
    FailRequest(request, checked.error());
    return;
  }
  if (HasAccountLimits(*request->headers.effective_class)) {
    CheckLimits(request, RequestLimits::Try::kFirst);
    return;
  }
  StartAdmitted(request);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::CheckLimits(Request* request,
                                        RequestLimits::Try attempt) {
  Expected<RequestLimits::AdmitResult> verdict =
      limits_->Admit(request->headers.account->account, attempt, now_);
  if (!verdict) {
    FailRequest(request, verdict.error());
    return;
  }
  if (*verdict == RequestLimits::AdmitResult::kWait) {
    request->phase = Phase::kAwaitingLimitShare;
    return;
  }
  request->holds_concurrency_slot = true;
  // The admission lease may have ended while the request waited for its share.
  if (Expected<void> checked = CheckAdmission(); !checked && !draining_) {
    FailRequest(request, checked.error());
    return;
  }
  StartAdmitted(request);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::StartAdmitted(Request* request) {
  if (request->headers.idempotent) {
    Schedule(request);
    return;
  }
  request->phase = Phase::kOpeningLedger;
  request->phase_start = now_;
  request->ledger_pending = true;
  Emit(LedgerOpenAction{
      request->id, request->headers.account->account, request->ledger_key,
      Sha256Hex("POST\n" + request->path + "\n" + request->body)});
  RecordDecision(*request, "ledger_open", "non_idempotent",
                 {{"key", request->ledger_key.value()}});
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(LedgerAnswer& event) {
  Request* request = Find(event.request);
  if (request == nullptr || request->phase != Phase::kOpeningLedger) {
    return;
  }
  request->ledger_pending = false;
  request->ledger_open = event.kind == LedgerAnswer::Kind::kGranted;
  if (request->caller_done) {
    // The request was refused or its caller disconnected before the ledger
    // answered.
    CloseLedgerWithoutAnswer(request, LedgerOutcome::Kind::kNotRun);
    Erase(request);
    return;
  }
  switch (event.kind) {
    case LedgerAnswer::Kind::kGranted:
      if (Expected<void> checked = CheckAdmission(); !checked && !draining_) {
        FailRequest(request, checked.error());
        return;
      }
      Schedule(request);
      return;
    case LedgerAnswer::Kind::kRecorded:
      if (event.outcome.body_truncated) {
        FailRequest(request, {ErrorKind::kStreamCut,
                              "the request ran before; its answer exceeded "
                              "the size that the ledger keeps"});
        return;
      }
      RecordDecision(*request, "replay", "recorded_outcome", {});
      SendComplete(request, event.outcome.status, event.outcome.content_type,
                   std::move(event.outcome.body));
      Erase(request);
      return;
    case LedgerAnswer::Kind::kUnknown:
      FailRequest(request, {ErrorKind::kOutcomeUnknown,
                            "a request with this key was sent before and its "
                            "outcome is not known"});
      return;
    case LedgerAnswer::Kind::kError:
      FailRequest(request, std::move(event.error));
      return;
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::Schedule(Request* request) {
  request->phase = Phase::kScheduled;
  request->phase_start = now_;
  const EffectiveClass& effective_class = *request->headers.effective_class;
  RequestDescriptor descriptor;
  descriptor.request = request->id;
  descriptor.account = effective_class.account;
  descriptor.class_id = effective_class.class_id;
  descriptor.kind =
      request->is_model() ? ServerKind::kModelEngine : ServerKind::kService;
  descriptor.target = request->target;
  descriptor.tier = effective_class.tier;
  descriptor.weight = effective_class.weight;
  descriptor.guaranteed_share = effective_class.guaranteed_share;
  descriptor.retry_budget_ratio = effective_class.retry_budget_ratio;
  descriptor.arrival = request->arrival;
  descriptor.ttft_target = effective_class.ttft_target;
  descriptor.total_target = effective_class.total_target;
  descriptor.idempotent = request->headers.idempotent;
  if (request->is_model()) {
    // Estimate: one token per four bytes of text.
    descriptor.prompt_tokens =
        Tokens(static_cast<int64_t>(request->model.prompt.size() / 4 + 1));
    descriptor.max_output_tokens = request->max_tokens;
    descriptor.prefix_hashes = PrefixHashes(request->model.prompt);
  } else {
    descriptor.max_output_tokens = Tokens(1);
  }
  ReleaseMemory(&request->model.prompt);
  RecordDecision(
      *request, "schedule", "admitted",
      {{"class", effective_class.class_id.value()},
       {"tier", std::to_string(effective_class.tier.value())},
       {"prompt_tokens", std::to_string(descriptor.prompt_tokens.value())}});
  request->is_in_scheduler = true;
  scheduler_->OnArrival(descriptor, now_, &scheduler_actions_);
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_SHARD_ADMISSION_H_
