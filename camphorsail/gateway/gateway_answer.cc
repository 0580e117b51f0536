#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/gateway/error_reply.h"
#include "camphorsail/gateway/gateway.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/gateway/server_pace_log.h"
#include "camphorsail/process/log_event.h"

// The parts of `Gateway` that forward answers and handle failed attempts.
namespace camphorsail {
namespace {

/// HTTP status of an answer that is streamed event by event.
constexpr int kStreamStatus = 200;
/// A stream that may be resumed on another server is resumed there when no
/// event has arrived for this multiple of the event gap of its route.
constexpr double kEventGapFactor = 3;
/// Lower bound of the time without an event after which a stream is resumed on
/// another server.
constexpr absl::Duration kMinEventGapTimeout = absl::Milliseconds(1000);
/// Time after the first event from which a stream did not end its server by
/// its begin.
constexpr absl::Duration kAnswerSettleTime = absl::Milliseconds(250);
/// Interval at which a request that waits on a busy server is checked again.
constexpr absl::Duration kStuckCheckInterval = absl::Milliseconds(500);
/// Time left until the deadline below which no other attempt is started,
/// because its answer would come too late.
constexpr absl::Duration kMinTimeLeft = absl::Milliseconds(20);
/// Bytes waiting to be sent to a caller above which the gateway stops reading
/// from the backend server (back pressure).
constexpr size_t kMaxUnsentBytes = 256 * 1024;
/// Largest fraction by which a gateway lengthens the time that a server asks it
/// to stay away.
constexpr double kRestSpread = 0.1;
/// Bounds of the ratio of actual to expected response time.
constexpr double kMinResponseTimeRatio = 0.2;
constexpr double kMaxResponseTimeRatio = 20;

}  // namespace

bool Gateway::OnHead(Exchange* exchange, HttpResponseHead head) {
  ExchangeAttempt& attempt = *exchange->attempt;
  attempt.reply = dialect_.read_reply(head);
  const ServerReply& reply = attempt.reply;
  // Rejects a late answer to an earlier request on this connection, and an
  // answer that is not the unmodified output of the server.
  const bool is_success = head.status >= 200 && head.status < 300;
  if (reply.request_id != exchange->request.request_id ||
      (is_success && (!reply.is_signed || reply.is_encoded))) {
    return false;
  }
  if (reply.load.has_value()) {
    attempt.server->OnReport(*reply.load, loop_->now());
    if (reply.load->slowdown.has_value()) {
      ModelOf(*exchange).speeds().OnReport(
          *reply.load->slowdown, &attempt.server->speed, loop_->now());
    }
  } else if (!reply.odd_load.empty()) {
    telemetry_.OnOddLoadReport(*exchange);
  }
  ObserveWishes(*exchange);
  attempt.head = std::move(head);
  return true;
}

void Gateway::ObserveWishes(const Exchange& exchange) {
  const ServerReply& reply = exchange.attempt->reply;
  BackendServer& server = *exchange.attempt->server;
  if (reply.is_leaving && !server.wishes.is_leaving()) {
    server.wishes.OnLeaving();
    LogEvent("server_says_leaving")
        .Add("server", server.id)
        .Add("request", exchange.request.request_id);
  }
  if (reply.rest.has_value()) {
    // Spread over some time, so that the gateways do not come back together.
    const absl::Duration rest =
        *reply.rest * (1 + kRestSpread * random_.Uniform());
    server.wishes.OnRest(rest, loop_->now());
    LogEvent("server_resting")
        .Add("server", server.id)
        .Add("request", exchange.request.request_id)
        .Add("rest_ms", absl::ToInt64Milliseconds(rest));
  }
}

void Gateway::OnData(Exchange* exchange, std::string_view data) {
  ExchangeAttempt& attempt = *exchange->attempt;
  if (attempt.reply.not_run) {
    return;
  }
  if (exchange->route->kind == RouteKind::kStream &&
      attempt.head->status == kStreamStatus) {
    ForwardEvents(exchange, data);
  } else {
    attempt.body.append(data);
  }
  // The caller may have disconnected while its data was written.
  if (!exchange->finished) {
    LimitHeldAnswer(exchange);
  }
}

void Gateway::LimitHeldAnswer(Exchange* exchange) {
  ExchangeAttempt& attempt = *exchange->attempt;
  const MonoTime now = loop_->now();
  const size_t size = attempt.body.size() + attempt.events.rest().size();
  if (size == 0) {
    attempt.held->Release();
    return;
  }
  attempt.held->OnProgress(now);
  if (size > settings_.answers.max_answer_bytes ||
      !attempt.held->Charge(
          attempt.body.capacity() + attempt.events.rest().capacity(), now)) {
    CountUsage(exchange);
    RetryOrRefuse(exchange, "answer_too_large", /*may_have_run=*/true,
                  /*timed_out=*/false);
  }
}

void Gateway::GiveUpHeldAnswer(CallerConnection* caller, uint64_t number) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end() || found->second->number != number) {
    return;
  }
  Exchange* exchange = found->second.get();
  if (exchange->attempt.has_value() && !exchange->is_held &&
      exchange->attempt->held->is_given_up()) {
    CountUsage(exchange);
    RetryOrRefuse(exchange, "answer_too_large",
                  /*may_have_run=*/true, /*timed_out=*/false);
  }
}

void Gateway::RecordFirstAnswer(Exchange* exchange) {
  ExchangeAttempt& attempt = *exchange->attempt;
  if (std::exchange(attempt.has_answer, true)) {
    return;
  }
  CountUsage(exchange);
  const MonoTime now = loop_->now();
  attempt.first = now - attempt.started_at;
  if (exchange->wait == absl::ZeroDuration()) {
    exchange->wait = now - exchange->arrived_at;
  }
  attempt.server->OnPromptDone(attempt.prefill, exchange->placement.urgency,
                               now);
  attempt.server->OnFirstAnswer(attempt.number, now);
  attempt.server->health.OnSuccess(now);
  attempt.server->wishes.OnAnswer(attempt.started_at);
  ServiceModel& model = ModelOf(*exchange);
  if (attempt.is_server_idle && exchange->service->is_engine) {
    model.OnFirstEvent(attempt.uncached_tokens, attempt.first,
                       &attempt.server->speed);
  } else if (attempt.is_server_idle) {
    model.engine().OnCall(attempt.first);
  }
  if (attempt.is_server_full && exchange->service->is_engine) {
    model.admission().OnQueuedAnswer(exchange->placement.urgency,
                                     attempt.expected, attempt.first);
  }
  ServerPace::Answer answer{.started_at = attempt.started_at,
                            .first = attempt.first,
                            .objective = exchange->placement.objective};
  if (attempt.expected > absl::ZeroDuration()) {
    const double ratio =
        std::clamp(absl::FDivDuration(attempt.first, attempt.expected),
                   kMinResponseTimeRatio, kMaxResponseTimeRatio);
    answer.ratio =
        model.ProfileOf(*exchange->route).RelativeResponseTime(ratio);
    attempt.server->health.OnResponseTime(answer.ratio, now);
  }
  attempt.server->pace.OnAnswer(answer, attempt.server->slots, now);
  LogPaceEnd(attempt.server.get());
}

void Gateway::CountUsage(Exchange* exchange) {
  // Replicas tell the time if they take usage.
  if (!settings_.usage.IsCounted() || exchange->account.value().empty() ||
      !true_clock_.HasReading() || std::exchange(exchange->is_counted, true)) {
    return;
  }
  usage_.OnRequestBegun(exchange->account, true_clock_.At(loop_->now()));
}

void Gateway::CountIfBegun(Exchange* exchange) {
  // An attempt that broke off later than its first token was expected has most
  // likely begun to run.
  if (loop_->now() - exchange->attempt->started_at >=
      exchange->attempt->expected) {
    CountUsage(exchange);
  }
}

void Gateway::ForwardEvents(Exchange* exchange, std::string_view data) {
  ExchangeAttempt& attempt = *exchange->attempt;
  const uint64_t before = attempt.events.count();
  const std::string events = attempt.events.Take(data);
  if (events.empty()) {
    return;
  }
  RecordFirstAnswer(exchange);
  if (!std::exchange(exchange->streaming, true)) {
    exchange->caller->SendHead(attempt.head->status,
                               ReplyHeaders(*attempt.head));
  }
  const MonoTime now = loop_->now();
  if (exchange->events_sent > 0) {
    const absl::Duration pause = now - exchange->events_at;
    exchange->longest_pause = std::max(exchange->longest_pause, pause);
    ModelOf(*exchange).OnGap(
        static_cast<double>(attempt.events.count() - before) *
            exchange->placement.tokens_per_event,
        pause, attempt.server->PromptBacklog(now), &attempt.server->speed, now);
  }
  if (!attempt.has_settled &&
      now - attempt.started_at - attempt.first >= kAnswerSettleTime) {
    RecordSettled(exchange);
  }
  exchange->events_at = now;
  exchange->events_sent += attempt.events.count() - before;
  if (attempt.events.last_id().has_value()) {
    exchange->last_event = attempt.events.last_id();
  }
  if (exchange->route->MayRunAgain()) {
    const absl::Duration gap =
        absl::Milliseconds(exchange->route->max_event_gap_ms);
    StartProgressTimer(exchange,
                       std::max(gap * kEventGapFactor, kMinEventGapTimeout));
  }
  exchange->caller->SendData(events);
  // The caller may have disconnected while its data was written.
  if (!exchange->finished &&
      exchange->caller->unsent_bytes() > kMaxUnsentBytes) {
    exchange->attempt->connection->SetPaused(true);
  }
}

void Gateway::OnCallerDrained(CallerConnection* caller) {
  const auto found = exchanges_.find(caller);
  if (found != exchanges_.end() && found->second->attempt.has_value() &&
      found->second->attempt->connection != nullptr) {
    found->second->attempt->connection->SetPaused(false);
  }
}

void Gateway::OnEnd(Exchange* exchange) {
  ExchangeAttempt& attempt = *exchange->attempt;
  attempt.connection = nullptr;
  const int status = attempt.head->status;
  if (attempt.reply.not_run) {
    RetryOrRefuse(exchange, "not_run", /*may_have_run=*/false,
                  /*timed_out=*/false);
    return;
  }
  if (!attempt.reply.is_signed && !exchange->streaming) {
    // Without a signature, it is not known whether the server ran the request.
    CountIfBegun(exchange);
    RetryOrRefuse(exchange, absl::StrCat("unsigned_", status),
                  /*may_have_run=*/true,
                  /*timed_out=*/false);
    return;
  }
  if (exchange->streaming && status != kStreamStatus) {
    // The server that should resume the stream answered with an error.
    RetryOrRefuse(exchange, absl::StrCat("status_", status),
                  /*may_have_run=*/true,
                  /*timed_out=*/false);
    return;
  }
  if (IsStreamCut(*exchange)) {
    CountIfBegun(exchange);
    OnBroken(exchange, "cut_event");
    return;
  }
  if (exchange->streaming) {
    telemetry_.OnAnswered(*exchange, status, loop_->now());
    RecordSettled(exchange);
    RecordStreamEnd(*exchange);
    CallerConnection* caller = exchange->caller;
    Finish(exchange);
    caller->SendEnd();
    return;
  }
  CountUsage(exchange);
  // A 5xx answer of the server is retried if possible, and else forwarded.
  if (status >= 500 && MayTryAgain(*exchange, exchange->possible_runs + 1) &&
      RetryBudgetOf(exchange->service->name)
          .TryRetry(gateway_count_, loop_->now())) {
    RetryOrRefuse(exchange, absl::StrCat("status_", status),
                  /*may_have_run=*/true,
                  /*timed_out=*/false, /*allowed=*/true);
    return;
  }
  if (status < 500) {
    RecordFirstAnswer(exchange);
    if (status < 400) {
      RecordSettled(exchange);
    }
  } else {
    RecordFailure(attempt.server.get(), absl::StrCat("status_", status),
                  /*unreachable=*/false);
  }
  const std::string body = std::move(attempt.body);
  const HttpHeaders headers = ReplyHeaders(*attempt.head);
  CallerConnection* caller = exchange->caller;
  telemetry_.OnAnswered(*exchange, status, loop_->now());
  // The exchange is finished before the answer is sent, because the caller's
  // next request may already be waiting on the connection.
  Finish(exchange);
  caller->SendComplete(status, headers, body);
}

void Gateway::OnFailure(Exchange* exchange, BackendFailure failure, bool sent) {
  exchange->attempt->connection = nullptr;
  if (!sent) {
    RecordFailure(exchange->attempt->server.get(), ToString(failure),
                  /*unreachable=*/true);
  }
  if (sent) {
    CountIfBegun(exchange);
  }
  if (failure == BackendFailure::kBroken && sent) {
    OnBroken(exchange, ToString(failure));
    return;
  }
  RetryOrRefuse(exchange, ToString(failure), /*may_have_run=*/sent,
                /*timed_out=*/false);
}

bool Gateway::IsStreamCut(const Exchange& exchange) {
  const ExchangeAttempt& attempt = *exchange.attempt;
  if (exchange.route->kind != RouteKind::kStream ||
      attempt.head->status != kStreamStatus) {
    return false;
  }
  const HttpHeaders& headers = attempt.head->headers;
  const bool has_framing = headers.Find("content-length") != nullptr ||
                           headers.Find("transfer-encoding") != nullptr;
  // Without a length, the end of the connection may be the end of the server.
  return !attempt.events.rest().empty() ||
         (!has_framing && attempt.events.count() == 0);
}

void Gateway::OnBroken(Exchange* exchange, std::string_view failure) {
  if (!HoldForCrashCheck(exchange, failure)) {
    RetryOrRefuse(exchange, failure, /*may_have_run=*/true,
                  /*timed_out=*/false);
  }
}

void Gateway::RecordFailure(BackendServer* server,
                            std::string_view failure,
                            bool unreachable) {
  const MonoTime now = loop_->now();
  const bool accepted_requests = server->health.AcceptsRequests(now);
  if (unreachable) {
    server->health.OnUnreachable(now);
  } else {
    server->health.OnFailure(now);
  }
  server->pace.OnFailure(now);
  if (accepted_requests && !server->health.AcceptsRequests(now)) {
    LogEvent("server_suspended", LogLevel::kWarning)
        .Add("server", server->id)
        .Add("failure", failure);
    if (settings_.paces_servers) {
      server->pace.Begin(server->slots, now);
      LogPaceBegin(*server, "suspended");
    }
  }
}

void Gateway::OnNoProgress(Exchange* exchange) {
  // Without the option of another attempt, the current one continues.
  if (!MayTryAgain(*exchange, exchange->possible_runs + 1)) {
    return;
  }
  const ExchangeAttempt& attempt = *exchange->attempt;
  if (!attempt.has_answer &&
      !attempt.server->IsStuck(attempt.number, attempt.started_at,
                               loop_->now())) {
    // The server is busy with other requests. On another server the request
    // would have to queue again from the start.
    StartProgressTimer(exchange, kStuckCheckInterval);
    return;
  }
  RetryOrRefuse(exchange, "silent", /*may_have_run=*/true, /*timed_out=*/true);
}

void Gateway::RetryOrRefuse(Exchange* exchange,
                            std::string_view failure,
                            bool may_have_run,
                            bool timed_out,
                            bool allowed) {
  const MonoTime now = loop_->now();
  ExchangeAttempt& attempt = *exchange->attempt;
  const bool rejected = attempt.reply.not_run;
  if (may_have_run) {
    ++exchange->possible_runs;
    RecordFailure(attempt.server.get(), failure, /*unreachable=*/false);
  }
  if (rejected) {
    attempt.server->pace.OnFailure(now);
  }
  if (may_have_run || rejected) {
    ++exchange->failed_sent_attempts;
  }
  exchange->placement.failed_servers.push_back(attempt.server->id);
  const bool is_retried =
      MayTryAgain(*exchange, exchange->possible_runs) &&
      (allowed || exchange->failed_sent_attempts == 0 ||
       RetryBudgetOf(exchange->service->name).TryRetry(gateway_count_, now));
  telemetry_.OnAttemptFailed(*exchange, failure,
                             !is_retried           ? "give_up"
                             : exchange->streaming ? "resume"
                                                   : "retry",
                             now);
  EndAttempt(exchange, /*cancel=*/true);
  if (is_retried) {
    Dispatch(exchange);
    return;
  }
  if (exchange->possible_runs > 0) {
    Refuse(exchange,
           timed_out ? ErrorKind::kBackendTimeout : ErrorKind::kBackendFailed,
           failure);
  } else {
    Refuse(exchange, ErrorKind::kOverloaded, failure);
  }
}

bool Gateway::MayTryAgain(const Exchange& exchange, int possible_runs) const {
  const MonoTime now = loop_->now();
  const Route& route = *exchange.route;
  if (exchange.started_attempts >= kMaxAttempts || !IsLeaseValid() ||
      exchange.deadline - now < kMinTimeLeft) {
    return false;
  }
  if (exchange.streaming && !exchange.last_event.has_value()) {
    return false;
  }
  return (possible_runs == 0 ||
          (route.MayRunAgain() && possible_runs < route.max_attempts)) &&
         MayBeHandedOn(exchange);
}

void Gateway::EndAttempt(Exchange* exchange, bool cancel) {
  if (!exchange->attempt.has_value()) {
    return;
  }
  loop_->Cancel(exchange->progress_timer);
  const MonoTime now = loop_->now();
  ExchangeAttempt& attempt = *exchange->attempt;
  if (!attempt.has_answer) {
    attempt.server->OnPromptDone(attempt.prefill, exchange->placement.urgency,
                                 now);
  }
  attempt.server->isolated_requests -= exchange->placement.isolated ? 1 : 0;
  attempt.server->OnFinished(exchange->placement.urgency);
  attempt.server->ReleaseTokens(exchange->placement.memory_tokens,
                                exchange->placement.urgency);
  BackendConnection* connection = std::exchange(attempt.connection, nullptr);
  if (cancel && connection != nullptr) {
    connection->Cancel();
  }
  if (attempt.server->wishes.is_leaving()) {
    // The connection of this attempt may be idle now.
    pool_.CloseIdleTo(attempt.server->address);
  }
  exchange->attempt.reset();
}

void Gateway::RefuseWithoutServer(Exchange* exchange) {
  const MonoTime now = loop_->now();
  MonoTime accepts_from = MonoTime::Infinite();
  for (const Ref<BackendServer>& server :
       fleet_.ServersOf(exchange->service->name)) {
    accepts_from = std::min(accepts_from, server->wishes.AcceptsFrom(now));
  }
  if (accepts_from > now && accepts_from != MonoTime::Infinite()) {
    exchange->servers_rest_for = accepts_from - now;
    Refuse(exchange, ErrorKind::kNoBackendServer,
           "the servers of the service have asked for a pause");
    return;
  }
  Refuse(exchange, ErrorKind::kNoBackendServer,
         "no backend server of the service is available");
}

void Gateway::Refuse(Exchange* exchange,
                     ErrorKind kind,
                     std::string_view reason) {
  if (exchange->possible_runs > 0 &&
      GetErrorTraits(kind).request_was_run == RequestWasRun::kNo) {
    // An earlier attempt may have run the request.
    kind = ErrorKind::kBackendFailed;
  }
  telemetry_.OnRefused(*exchange, kind, reason, loop_->now());
  if (exchange->route != nullptr && GetErrorTraits(kind).counts_as_refused) {
    refusals_.Add(exchange->account, ClassId(exchange->route->name), kind);
  }
  CallerConnection* caller = exchange->caller;
  if (exchange->streaming) {
    Finish(exchange);
    caller->Abort();
    return;
  }
  const ErrorReply reply = MakeErrorReply(
      Error{kind, std::string(reason), RetryAfter(*exchange, kind)},
      exchange->request.request_id, dialect_);
  Finish(exchange);
  caller->SendComplete(reply.status, reply.headers, reply.body);
}

void Gateway::OnDeadline(Exchange* exchange) {
  if (exchange->attempt.has_value() &&
      (exchange->attempt->connection != nullptr || exchange->is_held)) {
    // It is not known whether the server has run the request.
    ++exchange->possible_runs;
  }
  EndAttempt(exchange, /*cancel=*/true);
  Refuse(exchange,
         exchange->possible_runs > 0 ? ErrorKind::kBackendTimeout
                                     : ErrorKind::kDeadlineUnreachable,
         "no answer before the deadline");
}

void Gateway::OnCallerGone(CallerConnection* caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) {
    return;
  }
  Exchange* exchange = found->second.get();
  if (exchange->route != nullptr) {
    telemetry_.OnCallerLeft(*exchange, loop_->now());
  }
  EndAttempt(exchange, /*cancel=*/true);
  Finish(exchange);
}

void Gateway::StartProgressTimer(Exchange* exchange, absl::Duration limit) {
  loop_->Cancel(exchange->progress_timer);
  exchange->progress_timer = loop_->RunAt(
      loop_->now() + limit, [this, exchange] { OnNoProgress(exchange); });
}

void Gateway::Finish(Exchange* exchange) {
  EndAttempt(exchange, /*cancel=*/true);
  loop_->Cancel(exchange->deadline_timer);
  exchange->finished = true;
  const auto found = exchanges_.find(exchange->caller);
  std::shared_ptr<Exchange> released = std::move(found->second);
  exchanges_.erase(found);
  // Destroyed in a later iteration of the event loop, because callers further
  // up the stack may still use it.
  loop_->Post([released] {});
}

HttpHeaders Gateway::ReplyHeaders(const HttpResponseHead& head) const {
  HttpHeaders headers;
  const HopByHopHeaders hop_by_hop(head.headers);
  for (const HttpHeaders::Item& item : head.headers.items()) {
    if (!hop_by_hop.Contains(item.first) &&
        !absl::EqualsIgnoreCase(item.first, "content-length")) {
      headers.Add(item.first, item.second);
    }
  }
  dialect_.strip_reply(&headers);
  return headers;
}

}  // namespace camphorsail
