#include <algorithm>
#include <utility>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/base/secret_equal.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/runtime/daemon.h"

// The listeners of `Daemon` for callers, backend servers and operators.
namespace camphorsail {
namespace {

// Two more than the departures that may wait for a quorum.
constexpr int kAnnounceWorkers = 8;
constexpr int kOperatorWorkers = 4;
constexpr int kMetricsWorkers = 1;
// The buffer of the header parser must also hold the request line.
constexpr size_t kMaxParsedHeaderBytes = 12 * 1024;

HttpResponse PlainText(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(text);
  return response;
}

}  // namespace

StreamServerSettings Daemon::ListenerSettings(
    const NetworkAddress& address) const {
  StreamServerSettings settings;
  settings.address = address.ip;
  settings.port = address.port;
  settings.max_body_bytes = options_.max_body_bytes;
  settings.max_total_body_bytes = options_.max_total_body_bytes;
  settings.max_header_bytes =
      std::min(options_.max_header_bytes, kMaxParsedHeaderBytes);
  return settings;
}

Expected<void> Daemon::StartListeners() {
  health_routes_ = MakeHealthRoutes();
  Expected<std::unique_ptr<RouteServer>> announcements =
      RouteServer::Create(ListenerSettings(options_.announce_listen),
                          MakeAnnounceRoutes(), kAnnounceWorkers);
  if (!announcements) {
    return tl::unexpected<Error>(announcements.error());
  }
  announcements_ = *std::move(announcements);

  admin_api_ = std::make_unique<AdminApi>(MakeAdminParts());
  RouteTable admin_routes = MakeHealthRoutes();
  admin_api_->AddRoutes(&admin_routes);
  Expected<std::unique_ptr<RouteServer>> operators =
      RouteServer::Create(ListenerSettings(options_.admin_listen),
                          std::move(admin_routes), kOperatorWorkers);
  if (!operators) {
    return tl::unexpected<Error>(operators.error());
  }
  operators_ = *std::move(operators);
  StartMetricsListener();

  if (!options_.roles.entry) {
    return {};
  }
  Expected<std::unique_ptr<StreamServer>> callers = StreamServer::Create(
      ListenerSettings(options_.caller_listen), MakeCallerHandlers());
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  callers_ = *std::move(callers);
  return {};
}

void Daemon::StartMetricsListener() {
  if (options_.metrics_listen.port == 0) {
    return;
  }
  Expected<std::unique_ptr<RouteServer>> server =
      RouteServer::Create(ListenerSettings(options_.metrics_listen),
                          MakeHealthRoutes(), kMetricsWorkers);
  if (server) {
    metrics_server_ = *std::move(server);
    return;
  }
  LogEvent("metrics_unavailable", LogLevel::kWarning)
      .Add("address", ToString(options_.metrics_listen))
      .Add("message", server.error().message);
}

std::string Daemon::RenderMetrics() {
  gauges_.UpdateProcess();
  control_->Inspect([this](const ControlNode& node) {
    gauges_.Update(node, MonotonicNow());
    if (duty_metrics_ != nullptr) {
      duty_metrics_->Update(node, options_.vm);
    }
  });
  return metrics_.Render();
}

RouteTable Daemon::MakeHealthRoutes() {
  RouteTable routes;
  routes.Add("GET", "/healthz",
             [](const HttpRequest&) { return PlainText(200, "ok\n"); });
  routes.Add("GET", "/readyz", [this](const HttpRequest&) {
    return IsReady() ? PlainText(200, "ready\n")
                     : PlainText(503, "not ready\n");
  });
  routes.Add("GET", "/metrics", [this](const HttpRequest&) {
    return PlainText(200, RenderMetrics());
  });
  return routes;
}

RouteTable Daemon::MakeAnnounceRoutes() {
  RouteTable routes = MakeHealthRoutes();
  routes.Add("POST", "/backend/v1/announce",
             [this](const HttpRequest& request) { return Announce(request); });
  return routes;
}

StreamHandlers Daemon::MakeCallerHandlers() {
  StreamHandlers handlers = entry_->CallerHandlers();
  handlers.on_headers = [this, next = std::move(handlers.on_headers)](
                            const Ref<ServerStream>& stream) {
    const HttpRequest& request = stream->request();
    if (health_routes_.HasPath(request.path)) {
      stream->Respond(health_routes_.Handle(request, entry_->NewRequestId()));
      return;
    }
    next(stream);
  };
  return handlers;
}

Expected<void> Daemon::TakeAnnouncement(const std::string& body) {
  const MonoTime now = MonotonicNow();
  const Expected<ServerAnnouncement> announcement =
      directory_.Announce(body, now);
  if (!announcement) {
    return tl::unexpected<Error>(announcement.error());
  }
  if (!announcement->leaving) {
    return {};
  }
  return RecordDeparture(directory_.Leave(
      announcement->server, announcement->version.incarnation, now));
}

HttpResponse Daemon::Announce(const HttpRequest& request) {
  Error error;
  if (!SecretEqual(request.Header("x-camphorsail-secret"),
                   options_.announce_secret)) {
    error = {ErrorKind::kUnauthenticated,
             "the header x-camphorsail-secret is missing or wrong"};
  } else if (Expected<void> taken = TakeAnnouncement(request.body); !taken) {
    error = taken.error();
  } else {
    HttpResponse response;
    response.body = "{}";
    return response;
  }
  LogEvent("announcement_refused", LogLevel::kWarning)
      .Add("client", request.client_address)
      .Add("code", GetErrorTraits(error.kind).code)
      .Add("message", error.message);
  return RouteTable::ErrorResponse(
      error, entry_ == nullptr ? RequestId() : entry_->NewRequestId());
}

}  // namespace camphorsail
