#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "camphorsail/admin/admin_api.h"
#include "camphorsail/admin/admin_request.h"
#include "camphorsail/orders/engine_json.h"
#include "camphorsail/orders/order_store.h"
#include "camphorsail/runtime/random_seed.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

Json EngineToJson(const BackendServerId& server, const OrderStore& store) {
  Json engine = {{"server", server.value()},
                 {"desired", nullptr},
                 {"observed", nullptr},
                 {"open_order", nullptr}};
  if (const auto desired = store.desired().find(server);
      desired != store.desired().end()) {
    engine["desired"] = RenderEngineState(desired->second.state);
    engine["desired"]["need"] = desired->second.load_priority;
  }
  if (const OrderObservation* observed = store.FindObserved(server)) {
    engine["observed"] = RenderEngineState(observed->state);
    engine["observed"]["incarnation"] = observed->incarnation.value();
  }
  if (const OrderIntent* open = store.FindOpen(server)) {
    engine["open_order"] = RenderOrder(*open);
    engine["open_order"]["incarnation"] = open->incarnation.value();
  }
  return engine;
}

Expected<DesiredEngine> ParseDesired(const Json& body) {
  for (const auto& [name, value] : body.items()) {
    if (name != "server" && name != "artifacts" && name != "role" &&
        name != "need" && name != "remove") {
      return Fail(ErrorKind::kInvalidRequest, "unknown member '" + name + "'");
    }
  }
  DesiredEngine desired;
  const auto server = body.find("server");
  if (server == body.end() || !server->is_string() ||
      server->get_ref<const std::string&>().empty()) {
    return Fail(
        ErrorKind::kInvalidRequest,
        "'server' must be a non-empty string, the id of a backend server");
  }
  desired.server = BackendServerId(server->get<std::string>());
  if (const auto remove = body.find("remove"); remove != body.end()) {
    if (!remove->is_boolean() || !remove->get<bool>() || body.size() != 2) {
      return Fail(ErrorKind::kInvalidRequest,
                  "'remove' must be true, and 'server' the only other member");
    }
    desired.remove = true;
    return desired;
  }
  Expected<EngineState> state = ParseEngineState(body);
  if (!state) {
    return tl::unexpected<Error>(state.error());
  }
  desired.state = *std::move(state);
  if (const auto load_priority = body.find("need");
      load_priority != body.end()) {
    if (!load_priority->is_number_integer()) {
      return Fail(ErrorKind::kInvalidRequest, "'need' must be an integer");
    }
    desired.load_priority = load_priority->get<int64_t>();
  }
  return desired;
}

}  // namespace

Expected<HttpResponse> AdminApi::GetEngines(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const bool current = WaitForCurrentState();
  Json engines = Json::array();
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const OrderStore& store = node.state().orders();
    std::set<BackendServerId> servers;
    for (const auto& [server, desired] : store.desired()) {
      servers.insert(server);
    }
    for (const auto& [server, order] : store.open()) {
      servers.insert(server);
    }
    for (const BackendServerId& server : servers) {
      engines.push_back(EngineToJson(server, store));
    }
  });
  return JsonResponse({{"engines", std::move(engines)}, {"current", current}});
}

Expected<HttpResponse> AdminApi::SetEngine(const HttpRequest& request) {
  Expected<Json> body = ParseBody(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  Expected<DesiredEngine> desired = ParseDesired(*body);
  if (!desired) {
    return tl::unexpected<Error>(desired.error());
  }
  desired->change_id = RandomSeed();
  Json answer = {{"server", desired->server.value()},
                 {"removed", desired->remove}};
  Expected<CommandResult> result =
      dependencies_.control->Submit(*std::move(desired));
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  if (result->error.has_value()) {
    return tl::unexpected<Error>(*result->error);
  }
  return JsonResponse(answer);
}

}  // namespace camphorsail
