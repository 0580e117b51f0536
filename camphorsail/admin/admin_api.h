#ifndef CAMPHORSAIL_ADMIN_ADMIN_API_H_
#define CAMPHORSAIL_ADMIN_ADMIN_API_H_

#include <functional>
#include <string>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/http/route_table.h"
#include "camphorsail/peer/peer_transport.h"
#include "camphorsail/process/options.h"
#include "camphorsail/quarantine/crash_record.h"
#include "camphorsail/runtime/control_runtime.h"
#include "camphorsail/runtime/server_directory.h"
#include "camphorsail/runtime/timeline_collector.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// The HTTP API for operators, see `docs/admin-api.md`. Its handlers run on the
/// worker threads of the operators' listener and may block until the replica
/// group has processed a command.
/// Owned by the daemon; thread-safe.
class AdminApi {
 public:
  /// The objects that the handlers use. All pointers must outlive the
  /// `AdminApi`.
  struct Dependencies {
    const Options* options = nullptr;
    ControlRuntime* control = nullptr;
    ServerDirectory* directory = nullptr;
    TimelineCollector* collector = nullptr;
    PeerTransport* peers = nullptr;
    /// @return The ends of servers that the gateways know of.
    std::function<std::vector<CrashRecord>()> crash_records;
    /// @return True when this VM is ready to serve.
    std::function<bool()> is_ready;
    /// Starts the graceful stop of a VM, which may be this one.
    std::function<Expected<void>(const VmId&)> drain;
  };

  explicit AdminApi(Dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Adds the handlers to the operators' listener.
  void AddRoutes(RouteTable* routes);

 private:
  using Json = nlohmann::json;
  using Handler = Expected<HttpResponse> (AdminApi::*)(const HttpRequest&);

  /// Adds a route whose requests are authenticated before `handler` is called.
  void Add(RouteTable* routes,
           const char* method,
           const char* path,
           Handler handler);
  /// Checks the credential, calls the handler, and logs and renders its error.
  HttpResponse AuthenticateAndHandle(const HttpRequest& request,
                                     Handler handler);

  // Implemented in admin_settings.cc.
  Expected<HttpResponse> GetSettings(const HttpRequest& request);
  Expected<HttpResponse> ExportSettings(const HttpRequest& request);
  Expected<HttpResponse> ChangeSettings(const HttpRequest& request);
  Expected<HttpResponse> GetHistory(const HttpRequest& request);

  // Implemented in admin_state.cc.
  Expected<HttpResponse> GetServers(const HttpRequest& request);
  Expected<HttpResponse> GetStatus(const HttpRequest& request);
  Expected<HttpResponse> GetRefusedMinutes(const HttpRequest& request);
  Expected<HttpResponse> GetTimeline(const HttpRequest& request);
  Expected<HttpResponse> Drain(const HttpRequest& request);

  // Implemented in admin_quarantine.cc.
  Expected<HttpResponse> GetQuarantine(const HttpRequest& request);
  Expected<HttpResponse> ReleaseQuarantine(const HttpRequest& request);

  // Implemented in admin_duties.cc.
  Expected<HttpResponse> GetDuties(const HttpRequest& request);
  Expected<HttpResponse> HoldOrders(const HttpRequest& request);

  // Implemented in admin_engines.cc.
  Expected<HttpResponse> GetEngines(const HttpRequest& request);
  Expected<HttpResponse> SetEngine(const HttpRequest& request);

  /// Waits until this VM has applied every change committed so far.
  /// @return False when no leader confirmed this; the state may then be stale.
  bool WaitForCurrentState();

  const Dependencies dependencies_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ADMIN_ADMIN_API_H_
