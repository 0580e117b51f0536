#include "camphorsail/gateway/server_pace_log.h"

#include <optional>

#include "camphorsail/process/log_event.h"

namespace camphorsail {

void LogPaceBegin(const BackendServer& server, std::string_view reason) {
  LogEvent("server_pace_began")
      .Add("server", server.id)
      .Add("reason", reason)
      .Add("pace_limit", server.pace.limit())
      .Add("slots", server.slots);
}

void LogPaceEnd(BackendServer* server) {
  if (const std::optional<ServerPace::Summary> ended =
          server->pace.TakeEnded()) {
    LogEvent("server_pace_ended")
        .Add("server", server->id)
        .Add("paced_ms", absl::ToInt64Milliseconds(ended->duration))
        .Add("good_answers", ended->good_answers);
  }
}

}  // namespace camphorsail
