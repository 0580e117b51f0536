#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "camphorsail/admin/admin_api.h"
#include "camphorsail/admin/admin_request.h"
#include "camphorsail/admin/duty_json.h"
#include "camphorsail/process/log_event.h"

// The calls to the provider, and the services whose orders are on hold.
namespace camphorsail {

Expected<HttpResponse> AdminApi::GetDuties(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const bool current = WaitForCurrentState();
  Json answer;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    answer = DutiesToJson(node.state().duties());
  });
  answer["current"] = current;
  return JsonResponse(answer);
}

Expected<HttpResponse> AdminApi::HoldOrders(const HttpRequest& request) {
  Expected<Json> body = ParseBody(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  Expected<OrderHold> hold = ParseOrderHold(*body);
  if (!hold) {
    return tl::unexpected<Error>(hold.error());
  }
  WaitForCurrentState();
  bool is_known = false;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const auto& services = node.state().routing()->table.services;
    // A service that is not in the table any more can still be resumed.
    is_known =
        node.state().duties().holds().contains(hold->service) ||
        (hold->on_hold && std::any_of(services.begin(), services.end(),
                                      [&](const ServiceProfile& service) {
                                        return service.name == hold->service;
                                      }));
  });
  if (!is_known) {
    return Fail(ErrorKind::kNotFound,
                hold->on_hold ? "the routing table has no such service"
                              : "the service is not on hold");
  }
  const Expected<CommandResult> result = dependencies_.control->Submit(*hold);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  if (result->error.has_value()) {
    return tl::unexpected<Error>(*result->error);
  }
  (hold->on_hold ? LogEvent("orders_held", LogLevel::kInfo)
                 : LogEvent("orders_resumed", LogLevel::kInfo))
      .Add("service", hold->service)
      .Add("operator", hold->operator_name);
  return JsonResponse(
      {{"service", hold->service.value()}, {"hold", hold->on_hold}});
}

}  // namespace camphorsail
