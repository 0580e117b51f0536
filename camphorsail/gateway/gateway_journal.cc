#include "camphorsail/gateway/gateway_journal.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Adds what identifies an exchange and where it stands.
void Describe(const Exchange& exchange, MonoTime now, LogEvent* event) {
  event->Add("request", exchange.request.request_id)
      .Add("route", exchange.route == nullptr ? "" : exchange.route->name)
      .Add("account", exchange.account)
      .Add("table_version",
           exchange.index ? exchange.index->table().version : 0)
      .Add("age_ms", absl::ToInt64Milliseconds(now - exchange.arrived_at))
      .Add("urgency", exchange.urgency)
      .Add("tries", exchange.tries)
      .Add("runs", exchange.runs);
  if (exchange.attempt.has_value()) {
    const ExchangeAttempt& attempt = *exchange.attempt;
    event->Add("server", attempt.server->id)
        .Add("attempt_ms", absl::ToInt64Milliseconds(now - attempt.started_at))
        .Add("place", attempt.place)
        .Add("load", attempt.load)
        .Add("prefill_ms", absl::ToInt64Milliseconds(attempt.prefill))
        .Add("expected_ms", absl::ToInt64Milliseconds(attempt.expected))
        .Add("first_ms", absl::ToInt64Milliseconds(attempt.first));
  }
}

}  // namespace

GatewayJournal::GatewayJournal(Metrics* metrics) : metrics_(metrics) {
  requests_ = metrics_->Declare({"camphorsail_gateway_requests_total",
                                 MetricKind::kCounter,
                                 "Requests by route and outcome.",
                                 {"route", "outcome"}});
  attempts_ = metrics_->Declare({"camphorsail_gateway_failed_attempts_total",
                                 MetricKind::kCounter,
                                 "Attempts on backend servers that failed.",
                                 {"failure", "next"}});
  answer_time_ = metrics_->Declare({"camphorsail_gateway_answer_seconds",
                                    MetricKind::kLatency,
                                    "Time from arrival to the end of the "
                                    "answer.",
                                    {"route"}});
  dropped_ = metrics_->Declare({"camphorsail_gateway_dropped_log_lines_total",
                                MetricKind::kCounter,
                                "Log lines dropped to bound their volume.",
                                {}});
}

bool GatewayJournal::LineBudget::Take(MonoTime now) {
  if (now - second >= absl::Seconds(1)) {
    second = now;
    used = 0;
    if (dropped > 0) {
      LogEvent("log_lines_dropped", LogLevel::kWarning)
          .Add("lines", std::exchange(dropped, 0));
    }
  }
  if (used >= kLinesPerSecond) {
    ++dropped;
    return false;
  }
  ++used;
  return true;
}

void GatewayJournal::OnAnswered(const Exchange& exchange,
                                int status,
                                MonoTime now) {
  metrics_->Increment(requests_, {exchange.route->name, absl::StrCat(status)});
  metrics_->Observe(answer_time_, {exchange.route->name},
                    now - exchange.arrived_at);
  if (!answers_.Take(now)) {
    metrics_->Increment(dropped_, {});
    return;
  }
  LogEvent event("request_answered");
  Describe(exchange, now, &event);
  event.Add("status", status).Add("events", exchange.events_sent);
}

void GatewayJournal::OnRefused(const Exchange& exchange,
                               ErrorKind kind,
                               std::string_view reason,
                               MonoTime now) {
  const std::string_view code = GetErrorTraits(kind).code;
  metrics_->Increment(
      requests_, {exchange.route == nullptr ? "" : exchange.route->name, code});
  if (!failures_.Take(now)) {
    metrics_->Increment(dropped_, {});
    return;
  }
  LogEvent event("request_refused", LogLevel::kWarning);
  Describe(exchange, now, &event);
  event.Add("code", code).Add("reason", reason);
}

void GatewayJournal::OnCallerLeft(const Exchange& exchange, MonoTime now) {
  metrics_->Increment(requests_, {exchange.route->name, "caller_left"});
  if (!failures_.Take(now)) {
    metrics_->Increment(dropped_, {});
    return;
  }
  LogEvent event("caller_left");
  Describe(exchange, now, &event);
  event.Add("events", exchange.events_sent);
}

void GatewayJournal::OnAttemptFailed(const Exchange& exchange,
                                     std::string_view failure,
                                     std::string_view next,
                                     MonoTime now) {
  metrics_->Increment(attempts_, {failure, next});
  if (!failures_.Take(now)) {
    metrics_->Increment(dropped_, {});
    return;
  }
  LogEvent event("attempt_failed", LogLevel::kWarning);
  Describe(exchange, now, &event);
  event.Add("failure", failure).Add("next", next);
}

void GatewayJournal::OnBadRequest(ErrorKind kind, MonoTime now) {
  const std::string_view code = GetErrorTraits(kind).code;
  metrics_->Increment(requests_, {"", code});
  if (failures_.Take(now)) {
    LogEvent("bad_request", LogLevel::kWarning).Add("code", code);
  } else {
    metrics_->Increment(dropped_, {});
  }
}

}  // namespace camphorsail
