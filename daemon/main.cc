#include <curl/curl.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/log_writer.h"
#include "camphorsail/process/options.h"
#include "camphorsail/process/settings_reloader.h"
#include "camphorsail/process/signal_watcher.h"
#include "camphorsail/runtime/daemon.h"
#include "camphorsail/runtime/gateway_daemon.h"
#include "platform/control_routes.h"
#include "platform/provider_calls.h"
#include "platform/wire_dialect.h"

namespace camphorsail {
namespace {

/// Interval at which the daemon checks whether an operator requested a stop.
constexpr absl::Duration kStopPollPeriod = absl::Milliseconds(100);
/// Time limit for writing the queued log lines at the end of the process.
constexpr absl::Duration kLogStopLimit = absl::Milliseconds(300);

int RunGateway(const Options& options,
               const SettingsReloader& reloader,
               SignalWatcher* signals) {
  Expected<std::unique_ptr<GatewayDaemon>> daemon =
      GatewayDaemon::Create(options, platform::MakeWireDialect());
  if (!daemon) {
    std::cerr << "error: " << daemon.error().message << "\n";
    return 1;
  }
  LogEvent("gateway_started")
      .Add("version", CAMPHORSAIL_VERSION)
      .Add("failure_domain", options.failure_domain)
      .Add("callers", ToString(options.gateway_listen))
      .Add("peers", ToString(options.peer_listen));
  const bool complete = (*daemon)->Run(signals, reloader);
  daemon->reset();
  LogEvent("daemon_stopped").Add("all_requests_finished", complete);
  return complete ? 0 : 1;
}

int RunDaemon(Options options,
              const SettingsReloader& reloader,
              SignalWatcher* signals) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Expected<std::unique_ptr<Daemon>> daemon =
      Daemon::Create(options, platform::MakeProviderDialect());
  if (!daemon) {
    std::cerr << "error: " << daemon.error().message << "\n";
    return 1;
  }
  if (options.platform_listen.port != 0) {
    const Expected<void> listening = (*daemon)->AddListener(
        options.platform_listen, platform::MakeControlRoutes(daemon->get()));
    if (!listening) {
      std::cerr << "error: " << listening.error().message << "\n";
      return 1;
    }
  }
  LogEvent("daemon_started")
      .Add("version", CAMPHORSAIL_VERSION)
      .Add("failure_domain", options.failure_domain)
      .Add("callers_ip", options.caller_listen.ip)
      .Add("callers_port", (*daemon)->callers_port())
      .Add("announcements_port", (*daemon)->announcements_port())
      .Add("operators_port", (*daemon)->operators_port())
      .Add("peers", ToString(options.peer_listen));
  int signal = 0;
  while (signal == 0 && !(*daemon)->stop_requested()) {
    signal = signals->Wait(kStopPollPeriod);
    if (signal == SIGHUP) {
      if (reloader.Reload(&options)) {
        (*daemon)->ApplySettings(options);
      }
      signal = 0;
    }
  }
  LogEvent("daemon_draining").Add("signal", signal);
  const bool complete = (*daemon)->Drain();
  daemon->reset();
  LogEvent("daemon_stopped").Add("all_requests_finished", complete);
  curl_global_cleanup();
  return complete ? 0 : 1;
}

int Run(const Options& options, const SettingsReloader& reloader) {
  ApplyLogSettings(options);
  // Created before any thread, so that all threads inherit the signal mask.
  Expected<std::unique_ptr<SignalWatcher>> signals = SignalWatcher::Create();
  if (!signals) {
    std::cerr << "error: " << signals.error().message << "\n";
    return 1;
  }
  // Debian's build of Abseil checks for lock cycles at each lock operation,
  // under one lock for the whole process. The unit tests leave this check
  // enabled.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  LogWriter log(options.log_buffer_bytes);
  const int code = options.roles.gateway
                       ? RunGateway(options, reloader, signals->get())
                       : RunDaemon(options, reloader, signals->get());
  if (!log.Stop(kLogStopLimit)) {
    // A normal exit would block until the reader of standard output continues.
    std::_Exit(code);
  }
  return code;
}

}  // namespace
}  // namespace camphorsail

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  const camphorsail::OptionsOutcome outcome =
      camphorsail::ParseOptions(arguments, camphorsail::ProcessEnvironment());
  std::cout << outcome.output;
  std::cerr << outcome.errors;
  if (!outcome.options.has_value()) {
    return outcome.exit_code;
  }
  return camphorsail::Run(*outcome.options,
                          camphorsail::SettingsReloader(
                              arguments, camphorsail::ProcessEnvironment()));
}
