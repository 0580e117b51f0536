#ifndef CAMPHORSAIL_ENTRY_ENTRY_SHARD_ATTEMPT_H_
#define CAMPHORSAIL_ENTRY_ENTRY_SHARD_ATTEMPT_H_

// Member functions of EntryShard for the steps from the scheduler's decision to
// the end of a backend call. Included by entry_shard.h.

#include "camphorsail/entry/entry_shard.h"

namespace camphorsail {

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::RunSchedulerActions() {
  // Applying an action may call the scheduler again, which can append more
  // actions to the list.
  for (size_t i = 0; i < scheduler_actions_.size(); ++i) {
    SchedulerAction action = std::move(scheduler_actions_[i]);
    if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
      if (Request* request = Find(dispatch->request)) {
        StartAttempt(request, *dispatch);
        continue;
      }
    } else if (auto* refuse = std::get_if<RefuseAction>(&action)) {
      if (Request* request = Find(refuse->request)) {
        // The scheduler has already removed the request from its state.
        if (request->phase == Phase::kScheduled && !request->attempt) {
          request->is_in_scheduler = false;
          FailRequest(request, std::move(refuse->error));
        }
        continue;
      }
    }
    Emit(ForwardSchedulerAction{std::move(action)});
  }
  scheduler_actions_.clear();
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::StartAttempt(Request* request,
                                         const DispatchAction& dispatch) {
  if (request->phase != Phase::kScheduled || request->attempt) {
    return;
  }
  request->server = dispatch.server;
  const AttemptId attempt{request->id, dispatch.attempt, dispatch.incarnation};
  if (now_ >= lease_valid_until_) {
    FailRequest(request, {ErrorKind::kLeaseExpired,
                          "the admission lease ended before the request was "
                          "sent"});
    return;
  }
  // Ensures at-most-once execution even if the scheduler retries a request that
  // must not be sent again.
  if (request->sent_before && !request->headers.idempotent) {
    FailRequest(request, {ErrorKind::kOutcomeUnknown,
                          "the request was sent and must not be sent again"});
    return;
  }
  RecordDecision(*request, "dispatch",
                 request->sent_before ? "retry" : "scheduled",
                 {{"server", dispatch.server.value()},
                  {"attempt", std::to_string(dispatch.attempt.value())},
                  {"incarnation", std::to_string(dispatch.incarnation.value())},
                  {"priority", std::to_string(dispatch.engine_priority)}});
  StartBackendCallAction call;
  call.attempt = attempt;
  call.server = dispatch.server;
  call.method = "POST";
  call.path = request->path;
  call.idempotent = request->headers.idempotent;
  if (request->is_model()) {
    EngineBodyOptions options;
    options.model = request->target;
    options.max_tokens = request->max_tokens;
    options.priority = dispatch.engine_priority;
    options.stream = request->answer.has_value();
    if (request->answer) {
      request->answer->StartAttempt();
      options.resume_text = request->answer->text();
      options.resume_tokens = request->answer->tokens();
      if (options.resume_tokens.value() > 0) {
        RecordDecision(
            *request, "resume", "stream_broken",
            {{"tokens", std::to_string(options.resume_tokens.value())}});
      }
    }
    call.content_type = "application/json";
    call.body = BuildEngineBody(request->body, options);
  } else {
    call.content_type = request->content_type;
    call.body = request->body;
  }
  request->attempt = attempt;
  request->attempt_deadline = dispatch.attempt_deadline;
  request->attempt_tokens = Tokens(0);
  request->backend_status = 0;
  request->is_event_stream = false;
  request->buffered_answer.clear();
  request->paused = false;
  Emit(std::move(call));
  // The new call starts paused when the caller has not yet consumed the answer
  // bytes of the previous attempt.
  if (request->unconsumed_bytes >= settings_.pause_above_bytes) {
    request->paused = true;
    Emit(PauseBackendCallAction{attempt, true});
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BackendHeadersEvent& event) {
  Request* request = FindAttempt(event.attempt);
  if (request == nullptr) {
    return;
  }
  request->backend_status = event.status;
  request->backend_content_type = std::move(event.content_type);
  request->is_event_stream =
      request->answer && event.status == 200 &&
      request->backend_content_type.rfind("text/event-stream", 0) == 0;
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BackendDataEvent& event) {
  Request* request = FindAttempt(event.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->is_event_stream) {
    OnStreamData(request, event.data);
    return;
  }
  if (request->buffered_answer.size() + event.data.size() >
      settings_.max_whole_answer_bytes) {
    AttemptFailed(request, AttemptResult::kFailed,
                  "the answer is longer than " +
                      std::to_string(settings_.max_whole_answer_bytes) +
                      " bytes");
    return;
  }
  request->buffered_answer.append(event.data);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::OnStreamData(Request* request,
                                         const std::string& data) {
  EngineAnswer::Progress progress = request->answer->OnData(data);
  if (progress.tokens.value() > 0) {
    request->attempt_tokens = request->attempt_tokens + progress.tokens;
    scheduler_->OnTokens(request->id, progress.tokens, now_);
    ChargeTokens(request, progress.tokens);
  }
  if (request->model.streamed && !progress.caller_bytes.empty()) {
    SendStreamData(request, std::move(progress.caller_bytes));
  } else if (request->answer->text().size() >
             settings_.max_whole_answer_bytes) {
    progress.failed = true;
  }
  if (progress.done) {
    CompleteStream(request);
  } else if (progress.failed) {
    AttemptFailed(request, AttemptResult::kFailed,
                  "the engine reported an error, sent an invalid event or "
                  "exceeded the size limit");
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::CompleteStream(Request* request) {
  LedgerOutcome outcome;
  outcome.status = 200;
  if (request->model.streamed) {
    outcome.content_type = "text/event-stream";
    outcome.body = std::move(request->ledger_body);
    outcome.body_truncated = request->ledger_body_truncated;
    CloseLedger(request, std::move(outcome));
  } else {
    outcome.content_type = "application/json";
    outcome.body = request->answer->CompleteAnswer();
    CloseLedger(request, outcome);
    SendComplete(request, 200, outcome.content_type, std::move(outcome.body));
  }
  CompleteRequest(request, 200);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BackendEndEvent& event) {
  Request* request = FindAttempt(event.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->is_event_stream) {
    AttemptFailed(request, AttemptResult::kFailed,
                  "the stream ended before the answer was complete");
  } else {
    OnUnstreamedAnswer(request);
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::OnUnstreamedAnswer(Request* request) {
  const int status = request->backend_status;
  if (request->is_model()) {
    if (status == 429 || status == 503) {
      AttemptFailed(request, AttemptResult::kRejected,
                    "the engine rejected the request with HTTP status " +
                        std::to_string(status));
      return;
    }
    if (status >= 400 && status < 500) {
      // With these statuses the engine rejects the request without running it.
      FinishAttempt(request, AttemptResult::kCompleted);
      request->is_in_scheduler = false;
      request->attempt.reset();
      FailRequest(request, {ErrorKind::kInvalidRequest,
                            "the engine refused the request with HTTP status " +
                                std::to_string(status)});
      return;
    }
    if (status != 200 || request->answer) {
      AttemptFailed(request, AttemptResult::kFailed,
                    "the engine sent no usable answer (HTTP status " +
                        std::to_string(status) + ")");
      return;
    }
  }
  if (request->is_model() && request->holds_concurrency_slot) {
    ChargeTokens(request, CompletionTokens(request->buffered_answer));
  }
  if (!request->headers.idempotent) {
    LedgerOutcome outcome;
    outcome.status = status;
    outcome.content_type = request->backend_content_type;
    outcome.body = request->buffered_answer;
    CloseLedger(request, std::move(outcome));
  }
  SendComplete(request, status, request->backend_content_type,
               std::move(request->buffered_answer));
  CompleteRequest(request, status);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::On(BackendFailureEvent& event) {
  if (Request* request = FindAttempt(event.attempt)) {
    AttemptFailed(request,
                  event.sent ? AttemptResult::kFailed : AttemptResult::kNotSent,
                  event.message);
  }
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::FinishAttempt(Request* request,
                                          AttemptResult result) {
  AttemptOutcome outcome;
  outcome.request = request->id;
  outcome.attempt =
      request->attempt ? request->attempt->attempt : AttemptNumber();
  outcome.server = request->server;
  outcome.result = result;
  outcome.output_tokens = request->attempt_tokens;
  scheduler_->OnAttemptFinished(outcome, now_, &scheduler_actions_);
}

template <SchedulerLike Scheduler>
void EntryShard<Scheduler>::AttemptFailed(Request* request,
                                          AttemptResult result,
                                          const std::string& message) {
  RecordDecision(*request, "attempt_failed", message,
                 {{"server", request->server.value()},
                  {"result", std::to_string(static_cast<int>(result))}});
  if (request->is_event_stream && request->answer->finished()) {
    // The finish reason has arrived, so the text is complete; only the end of
    // the stream is missing.
    Emit(CancelBackendCallAction{*request->attempt});
    if (request->model.streamed) {
      SendStreamData(request, "data: [DONE]\n\n");
    }
    CompleteStream(request);
    return;
  }
  Emit(CancelBackendCallAction{*request->attempt});
  const bool may_have_run =
      result != AttemptResult::kNotSent && result != AttemptResult::kRejected;
  FinishAttempt(request, result);
  request->sent_before |= may_have_run;
  request->attempt.reset();
  if (may_have_run && !request->headers.idempotent) {
    // The request may have run, so it must not be sent again, even if the
    // scheduler has chosen another server for it.
    request->is_in_scheduler = false;
    FailRequest(request, {ErrorKind::kOutcomeUnknown, message});
  }
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_SHARD_ATTEMPT_H_
