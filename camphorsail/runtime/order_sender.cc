#include "camphorsail/runtime/order_sender.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/http/json_body.h"
#include "camphorsail/orders/engine_json.h"

namespace camphorsail {
namespace {

/// The largest state has 256 artifacts of three names of 256 bytes.
constexpr size_t kMaxAnswerBytes = 512 * 1024;
constexpr int kOkStatus = 200;

std::optional<EngineObservation> ParseObservation(
    const EngineCallAction& action,
    const std::string& answer) {
  const Expected<nlohmann::json> body = ParseJsonBody(answer);
  if (!body) {
    return std::nullopt;
  }
  const nlohmann::json& json = *body;
  if (!json.is_object() || !json.contains("busy") ||
      !json.at("busy").is_boolean()) {
    return std::nullopt;
  }
  Expected<EngineState> state = ParseEngineState(json);
  if (!state) {
    return std::nullopt;
  }
  EngineObservation observation;
  observation.server = action.server;
  observation.incarnation = action.incarnation;
  observation.state = *std::move(state);
  observation.busy = json.at("busy").get<bool>();
  observation.token = action.token;
  return observation;
}

}  // namespace

OrderSender::OrderSender(Resolve resolve, Sink sink)
    : resolve_(std::move(resolve)),
      sink_(std::move(sink)),
      caller_(kMaxAnswerBytes) {}

void OrderSender::Call(EngineCallAction action) {
  const BackendAddress address = resolve_(action.server, action.incarnation);
  if (address.host_port.empty()) {
    Finish(action, HttpCallResult());
    return;
  }
  HttpCall call;
  call.url = absl::StrCat("http://", address.host_port, "/orders");
  call.headers = {"Content-Type: application/json"};
  call.body =
      (action.order.has_value() ? RenderOrder(*action.order)
                                : RenderObserveRequest(action.token))
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  call.send_before = action.send_before;
  call.deadline = action.deadline;
  caller_.Post(std::move(call),
               [this, action = std::move(action)](
                   const HttpCallResult& result) { Finish(action, result); });
}

void OrderSender::Finish(const EngineCallAction& action,
                         const HttpCallResult& result) {
  EngineCallResultEvent event;
  event.server = action.server;
  event.token = action.token;
  event.is_order = action.order.has_value();
  event.has_ended = result.status != 0 || !result.may_have_been_sent;
  if (result.status == kOkStatus && !event.is_order) {
    event.observation = ParseObservation(action, result.body);
  }
  sink_(std::move(event));
}

}  // namespace camphorsail
