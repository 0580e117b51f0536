#include "camphorsail/gateway/gateway_telemetry.h"

#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Characters of an unreadable load report that are logged.
constexpr size_t kMaxLoggedReport = 64;

/// Adds the fields that identify an exchange and describe its progress.
void Describe(const Exchange& exchange, MonoTime now, LogEvent* event) {
  event->Add("request", exchange.request.request_id)
      .Add("route", exchange.route == nullptr ? "" : exchange.route->name)
      .Add("account", exchange.account)
      .Add("table_version",
           exchange.index ? exchange.index->table().version : 0)
      .Add("age_ms", absl::ToInt64Milliseconds(now - exchange.arrived_at))
      .Add("tries", exchange.started_attempts)
      .Add("runs", exchange.possible_runs);
  if (exchange.attempt.has_value()) {
    const ExchangeAttempt& attempt = *exchange.attempt;
    event->Add("server", attempt.server->id)
        .Add("load", attempt.load)
        .Add("expected_ms", absl::ToInt64Milliseconds(attempt.expected))
        .Add("first_ms", absl::ToInt64Milliseconds(attempt.first));
  }
}

/// @return The ids of the parts of the prompt that other requests may share.
std::string JoinPartIds(const Exchange& exchange) {
  constexpr size_t kMaxLoggedParts = 8;
  const std::vector<PromptPart>& parts = exchange.request.prompt_parts;
  std::string text;
  for (size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i) {
    absl::StrAppend(&text, i == 0 ? "" : ",", parts[i].id);
  }
  return text;
}

/// Adds fields for the part of the answer that the caller has received, and the
/// objectives of the route for comparison.
void DescribeAnswer(const Exchange& exchange, LogEvent* event) {
  event->Add("wait_ms", absl::ToInt64Milliseconds(exchange.wait))
      .Add("events", exchange.events_sent)
      .Add("pause_ms", absl::ToInt64Milliseconds(exchange.longest_pause));
  if (exchange.route != nullptr) {
    event->Add("objective_ms", exchange.route->objective_ms)
        .Add("pause_limit_ms", exchange.route->max_event_gap_ms);
  }
}

/// Adds the inputs of a refusal because of overload.
void DescribeAdmission(const AdmissionCheck& check, LogEvent* event) {
  event->Add("server", check.server)
      .Add("load", check.load)
      .Add("slots", check.slots)
      .Add("backlog_ms", absl::ToInt64Milliseconds(check.backlog))
      .Add("expected_ms", absl::ToInt64Milliseconds(check.expected))
      .Add("limit_ms", absl::ToInt64Milliseconds(check.limit))
      .Add("candidates", check.candidates);
  if (check.least_urgent_start.has_value()) {
    event->Add("least_urgent_start", check.least_urgent_start->value());
  }
  if (check.standing.has_value() && std::isfinite(check.standing->share_ms)) {
    event->Add("account_work_ms", check.standing->work_ms)
        .Add("account_share_ms", check.standing->share_ms)
        .Add("served_ratio", check.standing->served_ratio);
  }
}

}  // namespace

/// Adds why the parts of the prompt matter.
void DescribeJudgement(const Exchange& exchange, LogEvent* event) {
  const PartJudgement& judgement = exchange.judgement;
  event->Add("parts", JoinPartIds(exchange)).Add("crashes", judgement.crashes);
  if (judgement.treatment == PartTreatment::kQuarantined) {
    event->Add("entry", ToHex(judgement.entry));
  } else {
    event->Add("part_hashes", ToHex(judgement.suspect));
  }
}

GatewayTelemetry::GatewayTelemetry(Metrics* metrics) : metrics_(metrics) {
  requests_ = metrics_->Declare({"camphorsail_gateway_requests_total",
                                 MetricKind::kCounter,
                                 "Requests by route and outcome.",
                                 {"route", "outcome"}});
  attempts_ = metrics_->Declare({"camphorsail_gateway_failed_attempts_total",
                                 MetricKind::kCounter,
                                 "Attempts on backend servers that failed.",
                                 {"failure", "next"}});
  broken_servers_ =
      metrics_->Declare({"camphorsail_gateway_broken_servers_total",
                         MetricKind::kCounter,
                         "Servers on which attempts broke off, by whether they "
                         "had ended.",
                         {"state"}});
  odd_load_reports_ =
      metrics_->Declare({"camphorsail_gateway_odd_load_reports_total",
                         MetricKind::kCounter,
                         "Load reports of servers that could not be read.",
                         {"service"}});
  overload_refusals_ = metrics_->Declare(
      {"camphorsail_gateway_overload_refusals_total",
       MetricKind::kCounter,
       "Requests refused because of overload, by whether their account was "
       "above its share.",
       {"service", "account"}});
  first_answer_time_ =
      metrics_->Declare({"camphorsail_gateway_first_answer_seconds",
                         MetricKind::kLatency,
                         "Time from arrival to the first event or to the "
                         "whole answer.",
                         {"route"}});
  answer_time_ = metrics_->Declare({"camphorsail_gateway_answer_seconds",
                                    MetricKind::kLatency,
                                    "Time from arrival to the end of the "
                                    "answer.",
                                    {"route"}});
}

void GatewayTelemetry::OnAttemptStarted(const Exchange& exchange,
                                        const PlacementChoice& choice) {
  // Kept short, because every request writes this line. The last line of the
  // request contains the other fields.
  const ExchangeAttempt& attempt = *exchange.attempt;
  LogEvent event("attempt_started");
  event.Add("request", exchange.request.request_id)
      .Add("route", exchange.route->name)
      .Add("urgency", exchange.placement.urgency.value())
      .Add("tries", exchange.started_attempts)
      .Add("server", attempt.server->id)
      .Add("place", attempt.prefix_rank)
      .Add("load", attempt.load)
      .Add("prefill_ms", absl::ToInt64Milliseconds(attempt.prefill))
      .Add("expected_ms", absl::ToInt64Milliseconds(attempt.expected))
      .Add("candidates", choice.candidates)
      .Add("cost", choice.cost)
      .Add("next_cost", choice.candidates > 1 ? choice.next_cost : -1.0);
  if (const double lasting = attempt.server->speed.lasting();
      lasting != 1 || choice.slowness != 1) {
    event.Add("slowness", choice.slowness).Add("lasting_slowness", lasting);
  }
}

void GatewayTelemetry::OnAnswered(const Exchange& exchange,
                                  int status,
                                  MonoTime now) {
  metrics_->Increment(requests_, {exchange.route->name, absl::StrCat(status)});
  // `wait` is zero when a server answered with an error; that is not counted as
  // a first answer.
  if (exchange.wait > absl::ZeroDuration()) {
    metrics_->Observe(first_answer_time_, {exchange.route->name},
                      exchange.wait);
  }
  metrics_->Observe(answer_time_, {exchange.route->name},
                    now - exchange.arrived_at);
  LogEvent event("request_answered");
  Describe(exchange, now, &event);
  DescribeAnswer(exchange, &event);
  event.Add("status", status);
}

void GatewayTelemetry::OnRefused(const Exchange& exchange,
                                 ErrorKind kind,
                                 std::string_view reason,
                                 MonoTime now) {
  const std::string_view code = GetErrorTraits(kind).code;
  metrics_->Increment(
      requests_, {exchange.route == nullptr ? "" : exchange.route->name, code});
  LogEvent event("request_refused", LogLevel::kWarning);
  Describe(exchange, now, &event);
  DescribeAnswer(exchange, &event);
  if (exchange.judgement.treatment != PartTreatment::kNormal) {
    DescribeJudgement(exchange, &event);
  }
  if (exchange.refused_by.has_value()) {
    const std::optional<AccountShares::Standing>& standing =
        exchange.refused_by->standing;
    metrics_->Increment(
        overload_refusals_,
        {exchange.service->name.value(),
         standing.has_value() && standing->served_ratio < 1 ? "above_share"
                                                            : "shared"});
    event.Add("urgency", exchange.placement.urgency.value())
        .Add("caller_timeout_ms",
             absl::ToInt64Milliseconds(exchange.request.caller_timeout));
    DescribeAdmission(*exchange.refused_by, &event);
  }
  event.Add("code", code).Add("reason", reason);
}

void GatewayTelemetry::OnCallerLeft(const Exchange& exchange, MonoTime now) {
  metrics_->Increment(requests_, {exchange.route->name, "caller_left"});
  LogEvent event("caller_left");
  Describe(exchange, now, &event);
  DescribeAnswer(exchange, &event);
}

void GatewayTelemetry::OnAttemptFailed(const Exchange& exchange,
                                       std::string_view failure,
                                       std::string_view next,
                                       MonoTime now) {
  metrics_->Increment(attempts_, {failure, next});
  LogEvent event("attempt_failed", LogLevel::kWarning);
  Describe(exchange, now, &event);
  event
      .Add("attempt_ms",
           absl::ToInt64Milliseconds(now - exchange.attempt->started_at))
      .Add("failure", failure)
      .Add("next", next);
  if (!exchange.attempt->has_answer && !exchange.causes.empty()) {
    event.Add("parts", JoinPartIds(exchange));
  }
  if (exchange.request_hash.has_value()) {
    event.Add("request_hash", ToHex(*exchange.request_hash));
  }
}

void GatewayTelemetry::OnServerChecked(const BackendServer& server,
                                       bool ended) {
  metrics_->Increment(broken_servers_, {ended ? "ended" : "still_there"});
  if (ended) {
    LogEvent("server_ended", LogLevel::kWarning)
        .Add("server", server.id)
        .Add("incarnation", server.incarnation)
        .Add("load", server.in_flight());
  } else {
    LogEvent("server_still_there")
        .Add("server", server.id)
        .Add("incarnation", server.incarnation)
        .Add("load", server.in_flight());
  }
}

void GatewayTelemetry::OnVerdict(const PartVerdict& verdict, bool in_force) {
  LogEvent event(in_force ? LogEventName("parts_quarantined")
                          : LogEventName("parts_released"),
                 LogLevel::kWarning);
  event.Add("entry", ToHex(QuarantineIdOf(verdict.parts)))
      .Add("part_hashes",
           absl::StrJoin(verdict.parts, ",",
                         [](std::string* out, PromptPartHash part) {
                           out->append(ToHex(part));
                         }))
      .Add("crashes", verdict.crashes);
}

void GatewayTelemetry::OnOddLoadReport(const Exchange& exchange) {
  const ExchangeAttempt& attempt = *exchange.attempt;
  metrics_->Increment(odd_load_reports_, {attempt.server->service.value()});
  LogEvent("load_report_odd", LogLevel::kWarning)
      .Add("server", attempt.server->id)
      .Add("request", exchange.request.request_id)
      .Add("report", attempt.reply.odd_load.substr(0, kMaxLoggedReport));
}

void GatewayTelemetry::OnUnreceivedRequest(ErrorKind kind) {
  const std::string_view code = GetErrorTraits(kind).code;
  metrics_->Increment(requests_, {"", code});
  LogEvent("bad_request", LogLevel::kWarning).Add("code", code);
}

}  // namespace camphorsail
