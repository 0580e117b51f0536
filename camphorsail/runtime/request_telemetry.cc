#include "camphorsail/runtime/request_telemetry.h"

#include <cassert>
#include <optional>

#include "camphorsail/base/request_id_text.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"

namespace camphorsail {
namespace {

// At the default level, the log has one line for the end of each request and
// one for each failed attempt. Other decisions are logged at level debug and
// recorded on the timeline.
LogLevel DecisionLogLevel(const std::string& decision) {
  if (decision == "refuse" || decision == "attempt_failed") {
    return LogLevel::kWarning;
  }
  return decision == "complete" || decision == "replay" ? LogLevel::kInfo
                                                        : LogLevel::kDebug;
}

/// Decisions of the request path name their events and inputs by strings, which
/// the timeline stores. All of them should be listed in log_schema.h; in a
/// release build, a name that is missing there is logged as `unlisted`.
LogEventName FindLogEvent(const std::string& name) {
  const std::optional<LogEventName> listed = LogEventName::Find(name);
  assert(listed.has_value());
  return listed.value_or(LogEventName("unlisted"));
}

LogFieldName FindLogField(const std::string& name) {
  const std::optional<LogFieldName> listed = LogFieldName::Find(name);
  assert(listed.has_value());
  return listed.value_or(LogFieldName("unlisted"));
}

}  // namespace

RequestTelemetry::RequestTelemetry(VmId vm,
                                   SharedHybridClock* clock,
                                   TimelineBuffer* timeline,
                                   Metrics* metrics)
    : vm_(std::move(vm)),
      clock_(clock),
      timeline_(timeline),
      metrics_(metrics) {
  decisions_ = metrics_->Declare({"camphorsail_decisions_total",
                                  MetricKind::kCounter,
                                  "Decisions of the request path.",
                                  {"decision", "class"}});
  refusals_ = metrics_->Declare({"camphorsail_refused_requests_total",
                                 MetricKind::kCounter,
                                 "Requests refused or failed, by error code.",
                                 {"code", "class"}});
  first_token_ =
      metrics_->Declare({"camphorsail_time_to_first_token_seconds",
                         MetricKind::kLatency,
                         "Time from arrival to the first byte of the answer.",
                         {"class"}});
  whole_answer_ =
      metrics_->Declare({"camphorsail_answer_seconds",
                         MetricKind::kLatency,
                         "Time from arrival to the end of the answer.",
                         {"class"}});
}

void RequestTelemetry::Record(const TimelineAction& action) {
  metrics_->Increment(decisions_, {action.decision, action.class_id.value()});
  if (action.decision == "complete") {
    metrics_->Observe(first_token_, {action.class_id.value()},
                      action.time_to_first_byte);
    metrics_->Observe(whole_answer_, {action.class_id.value()},
                      action.time_since_arrival);
  }
  const LogLevel level = DecisionLogLevel(action.decision);
  if (IsLogged(level)) {
    LogEvent line(FindLogEvent("request_" + action.decision), level);
    line.Add("request", FormatRequestId(action.request))
        .Add("account", action.account)
        .Add("class", action.class_id)
        .Add("server", action.server)
        .Add("reason", action.reason)
        .Add("elapsed_ms", action.time_since_arrival);
    for (const auto& [name, value] : action.inputs) {
      // These inputs are already in the fixed fields above.
      if (name != "server" && name != "class" && name != "account") {
        line.Add(FindLogField(name), value);
      }
    }
  }
  TimelineEvent event;
  event.time = clock_->Now();
  event.vm = vm_;
  event.kind = TimelineKind("request_" + action.decision);
  event.request = action.request;
  event.account = action.account;
  event.class_id = action.class_id;
  event.server = action.server;
  event.reason = action.reason;
  event.inputs = action.inputs;
  timeline_->Add(std::move(event));
}

void RequestTelemetry::Record(const RecordRefusalAction& action) {
  metrics_->Increment(
      refusals_, {GetErrorTraits(action.kind).code, action.class_id.value()});
}

void RequestTelemetry::Record(
    const std::string& kind,
    std::vector<std::pair<std::string, std::string>> inputs) {
  if (IsLogged(LogLevel::kInfo)) {
    LogEvent line(FindLogEvent(kind));
    for (const auto& [name, value] : inputs) {
      line.Add(FindLogField(name), value);
    }
  }
  TimelineEvent event;
  event.time = clock_->Now();
  event.vm = vm_;
  event.kind = TimelineKind(kind);
  event.inputs = std::move(inputs);
  timeline_->Add(std::move(event));
}

}  // namespace camphorsail
