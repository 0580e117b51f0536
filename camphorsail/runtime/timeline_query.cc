#include "camphorsail/runtime/timeline_query.h"

namespace camphorsail {

TimelineQueryMessage MakeTimelineQuery(const TimelineFilter& filter) {
  TimelineQueryMessage message;
  message.request = filter.request.value_or(RequestId()).value();
  message.account = filter.account.value_or(ClientAccountId()).value();
  message.server = filter.server.value_or(BackendServerId()).value();
  message.kind = filter.kind.value_or(TimelineKind()).value();
  message.from_micros = absl::ToUnixMicros(filter.from);
  message.to_micros = absl::ToUnixMicros(filter.to);
  return message;
}

TimelineFilter MakeTimelineFilter(const TimelineQueryMessage& message) {
  TimelineFilter filter;
  if (message.request != 0) {
    filter.request = RequestId(message.request);
  }
  if (!message.account.empty()) {
    filter.account = ClientAccountId(message.account);
  }
  if (!message.server.empty()) {
    filter.server = BackendServerId(message.server);
  }
  if (!message.kind.empty()) {
    filter.kind = TimelineKind(message.kind);
  }
  filter.from = absl::FromUnixMicros(message.from_micros);
  filter.to = absl::FromUnixMicros(message.to_micros);
  return filter;
}

}  // namespace camphorsail
