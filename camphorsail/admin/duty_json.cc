#include "camphorsail/admin/duty_json.h"

#include <string>
#include <utility>

#include "nlohmann/json.hpp"

namespace camphorsail {

using Json = nlohmann::json;

Json DutiesToJson(const DutyStore& store) {
  const DutyHolder& holder = store.holder();
  Json answer = {{"holder",
                  {{"vm", holder.claim.vm.value()},
                   {"process", holder.claim.process.value()},
                   {"term", holder.claim.term.value()},
                   {"token", holder.token.value()}}},
                 {"open_windows", Json::array()},
                 {"last_settled_window", nullptr},
                 {"abandoned_windows", store.abandoned_windows()},
                 {"orders", Json::array()},
                 {"holds", Json::array()}};
  for (const auto& [number, window] : store.open_windows()) {
    uint64_t requests = 0;
    for (const AccountUsage& usage : window.accounts) {
      requests += usage.requests;
    }
    answer["open_windows"].push_back({{"window", number.value()},
                                      {"accounts", window.accounts.size()},
                                      {"requests", requests}});
  }
  if (!store.settled_windows().empty()) {
    answer["last_settled_window"] = store.settled_windows().rbegin()->value();
  }
  for (const auto& [subject, order] : store.orders()) {
    answer["orders"].push_back(
        {{"service", subject.service.value()},
         {"failure_domain", subject.failure_domain.value()},
         {"tenure", ToString(subject.tenure)},
         {"count", order.count},
         {"token", order.token.value()}});
  }
  for (const auto& [service, operator_name] : store.holds()) {
    answer["holds"].push_back(
        {{"service", service.value()}, {"operator", operator_name}});
  }
  return answer;
}

Expected<OrderHold> ParseOrderHold(const Json& body) {
  const auto service = body.find("service");
  const auto hold = body.find("hold");
  if (service == body.end() || !service->is_string() || hold == body.end() ||
      !hold->is_boolean()) {
    return Fail(ErrorKind::kInvalidRequest,
                "'service' must be a name and 'hold' true or false");
  }
  OrderHold command;
  command.service = ModelId(service->get<std::string>());
  command.on_hold = hold->get<bool>();
  command.operator_name = "unknown";
  if (const auto name = body.find("operator");
      name != body.end() && name->is_string()) {
    command.operator_name = name->get<std::string>();
  }
  return command;
}

}  // namespace camphorsail
