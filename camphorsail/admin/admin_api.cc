#include "camphorsail/admin/admin_api.h"

#include <utility>

#include "absl/strings/strip.h"
#include "camphorsail/base/secret_equal.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {

void AdminApi::AddRoutes(RouteTable* routes) {
  Add(routes, "GET", "/admin/v1/settings", &AdminApi::GetSettings);
  Add(routes, "POST", "/admin/v1/settings", &AdminApi::ChangeSettings);
  Add(routes, "GET", "/admin/v1/settings/export", &AdminApi::ExportSettings);
  Add(routes, "GET", "/admin/v1/settings/history", &AdminApi::GetHistory);
  Add(routes, "GET", "/admin/v1/servers", &AdminApi::GetServers);
  Add(routes, "GET", "/admin/v1/engines", &AdminApi::GetEngines);
  Add(routes, "POST", "/admin/v1/engines", &AdminApi::SetEngine);
  Add(routes, "GET", "/admin/v1/quarantine", &AdminApi::GetQuarantine);
  Add(routes, "POST", "/admin/v1/quarantine", &AdminApi::ReleaseQuarantine);
  Add(routes, "GET", "/admin/v1/duties", &AdminApi::GetDuties);
  Add(routes, "POST", "/admin/v1/duties", &AdminApi::HoldOrders);
  Add(routes, "GET", "/admin/v1/status", &AdminApi::GetStatus);
  Add(routes, "GET", "/admin/v1/refused-minutes", &AdminApi::GetRefusedMinutes);
  Add(routes, "GET", "/admin/v1/timeline", &AdminApi::GetTimeline);
  Add(routes, "POST", "/admin/v1/drain", &AdminApi::Drain);
}

void AdminApi::Add(RouteTable* routes,
                   const char* method,
                   const char* path,
                   Handler handler) {
  routes->Add(method, path, [this, handler](const HttpRequest& request) {
    return AuthenticateAndHandle(request, handler);
  });
}

HttpResponse AdminApi::AuthenticateAndHandle(const HttpRequest& request,
                                             Handler handler) {
  std::string_view credential = request.Header("authorization");
  Expected<HttpResponse> response =
      Fail(ErrorKind::kUnauthenticated,
           "the Authorization header must be \"Bearer \" followed by the "
           "operators' credential");
  if (absl::string_view view(credential.data(), credential.size());
      absl::ConsumePrefix(&view, "Bearer ") &&
      SecretEqual(std::string_view(view.data(), view.size()),
                  dependencies_.options->admin_secret)) {
    response = (this->*handler)(request);
  }
  if (response) {
    return *std::move(response);
  }
  LogEvent("admin_request_refused", LogLevel::kWarning)
      .Add("client", request.client_address)
      .Add("method", request.method)
      .Add("path", request.path)
      .Add("code", GetErrorTraits(response.error().kind).code)
      .Add("message", response.error().message);
  return RouteTable::ErrorResponse(response.error(), RequestId());
}

bool AdminApi::WaitForCurrentState() {
  return dependencies_.control->WaitUntilCurrent().has_value();
}

}  // namespace camphorsail
