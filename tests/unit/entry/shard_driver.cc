#include "tests/unit/entry/shard_driver.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "camphorsail/entry/sha256.h"
#include "camphorsail/entry/sse_parser.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

}  // namespace

Ref<EffectiveSettings> ShardDriver::MakeSettings(double requests_per_s,
                                                 double tokens_per_s,
                                                 int concurrency) {
  Ref<EffectiveSettings> settings = MakeRef<EffectiveSettings>();
  EffectiveAccount account;
  account.account = ClientAccountId("acme");
  account.default_class = ClassId("plan");
  EffectiveClass plan;
  plan.account = account.account;
  plan.class_id = ClassId("plan");
  plan.default_model = ModelId("m");
  plan.total_target = absl::Seconds(20);
  plan.max_requests_per_s = requests_per_s;
  plan.max_tokens_per_s = tokens_per_s;
  plan.max_concurrency = concurrency;
  EffectiveClass booking = plan;
  booking.class_id = ClassId("booking");
  booking.idempotent = false;
  account.classes = {plan, booking};
  settings->account_by_key_sha256[Sha256Hex("acme-key")] = account.account;
  settings->accounts[account.account] = account;
  return settings;
}

ShardDriver::ShardDriver() : shard(EntryShardSettings(), &scheduler, &limits) {
  Step(EffectiveSettingsEvent{MakeSettings()});
  Step(LeaseEvent{now + absl::Hours(1)});
  Step(TargetsEvent{{ModelId("m")}, {ModelId("s")}});
}

void ShardDriver::Step(EntryEvent event) {
  shard.Step(std::move(event), now, &actions);
}

void ShardDriver::SendHeaders(uint64_t id,
                              const std::string& path,
                              const std::string& class_name,
                              const std::string& key) {
  RequestArrivedEvent event;
  event.request = RequestId(id);
  event.method = "POST";
  event.path = path;
  event.class_header = class_name;
  event.authorization = key.empty() ? "" : "Bearer " + key;
  Step(std::move(event));
}

void ShardDriver::SendBody(uint64_t id, const std::string& body) {
  Step(BodyCompleteEvent{RequestId(id), body});
}

void ShardDriver::SendChat(uint64_t id,
                           bool streamed,
                           const std::string& class_name,
                           const std::string& idempotency_key) {
  RequestArrivedEvent event;
  event.request = RequestId(id);
  event.method = "POST";
  event.path = "/v1/chat/completions";
  event.class_header = class_name;
  event.authorization = "Bearer acme-key";
  event.idempotency_key = idempotency_key;
  Step(std::move(event));
  SendBody(id,
           streamed
               ? R"({"stream":true,"messages":[{"role":"user","content":"p"}]})"
               : R"({"messages":[{"role":"user","content":"p"}]})");
}

void ShardDriver::SendServiceCall(uint64_t id,
                                  const std::string& idempotency_key) {
  RequestArrivedEvent event;
  event.request = RequestId(id);
  event.method = "POST";
  event.path = "/v1/services/s/book";
  event.class_header = "booking";
  event.authorization = "Bearer acme-key";
  event.idempotency_key = idempotency_key;
  Step(std::move(event));
  SendBody(id, "one booking");
}

void ShardDriver::GrantLedgerOpen(uint64_t id) {
  LedgerAnswer answer;
  answer.request = RequestId(id);
  answer.kind = LedgerAnswer::Kind::kGranted;
  Step(std::move(answer));
}

DispatchAction ShardDriver::MakeDispatch(uint64_t id,
                                         uint32_t attempt,
                                         uint64_t incarnation) const {
  return DispatchAction{RequestId(id),
                        AttemptNumber(attempt),
                        BackendServerId("a"),
                        Incarnation(incarnation),
                        2,
                        now + absl::Seconds(10)};
}

void ShardDriver::Dispatch(uint64_t id,
                           uint32_t attempt,
                           uint64_t incarnation) {
  Step(SchedulerActionEvent{MakeDispatch(id, attempt, incarnation)});
}

void ShardDriver::ReceiveStreamHeaders(uint64_t id,
                                       uint32_t attempt,
                                       uint64_t incarnation) {
  Step(BackendHeadersEvent{
      {RequestId(id), AttemptNumber(attempt), Incarnation(incarnation)},
      200,
      "text/event-stream"});
}

void ShardDriver::ReceiveData(uint64_t id,
                              uint32_t attempt,
                              const std::string& data,
                              uint64_t incarnation) {
  Step(BackendDataEvent{
      {RequestId(id), AttemptNumber(attempt), Incarnation(incarnation)}, data});
}

void ShardDriver::FailCall(uint64_t id, uint32_t attempt, bool sent) {
  Step(BackendFailureEvent{
      {RequestId(id), AttemptNumber(attempt), Incarnation(1)}, sent, "broken"});
}

void ShardDriver::ReceiveEnd(uint64_t id, uint32_t attempt) {
  Step(
      BackendEndEvent{{RequestId(id), AttemptNumber(attempt), Incarnation(1)}});
}

std::string ShardDriver::CallerBytes(uint64_t id) const {
  std::string bytes;
  for (const SendDataAction& action : ActionsOf<SendDataAction>()) {
    if (action.request == RequestId(id)) {
      bytes.append(action.data);
    }
  }
  return bytes;
}

int ShardDriver::StatusOf(uint64_t id) const {
  for (const SendHeadersAction& action : ActionsOf<SendHeadersAction>()) {
    if (action.request == RequestId(id)) {
      return action.status;
    }
  }
  return 0;
}

int ShardDriver::EndCount(uint64_t id) const {
  int count = 0;
  for (const SendEndAction& action : ActionsOf<SendEndAction>()) {
    count += action.request == RequestId(id) ? 1 : 0;
  }
  return count;
}

std::string ShardDriver::CallerText(uint64_t id) const {
  std::string text;
  SseParser parser;
  parser.Append(CallerBytes(id));
  while (const auto event = parser.Next()) {
    const Json json = Json::parse(*event, nullptr, false);
    if (json.is_object() && json.contains("choices")) {
      text += json["choices"][0]["delta"].value("content", "");
    }
  }
  return text;
}

std::string ShardDriver::ErrorOf(uint64_t id) const {
  std::string bytes = CallerBytes(id);
  const size_t start = bytes.rfind(R"({"error")");
  if (start == std::string::npos) {
    return "";
  }
  const Json json = Json::parse(bytes.substr(start), nullptr, false);
  return json["error"]["code"].get<std::string>() + "/" +
         json["error"]["request_was_run"].get<std::string>();
}

std::string ShardDriver::TokenEvent(int index, const std::string& stream_id) {
  Json event;
  event["id"] = stream_id;
  event["created"] = 5;
  event["model"] = "m";
  event["choices"][0]["index"] = 0;
  event["choices"][0]["delta"]["content"] = "w" + std::to_string(index) + " ";
  event["choices"][0]["finish_reason"] = nullptr;
  return "data: " + event.dump() + "\n\n";
}

std::string ShardDriver::FinishEvent(const std::string& stream_id) {
  Json event;
  event["id"] = stream_id;
  event["choices"][0]["delta"] = Json::object();
  event["choices"][0]["finish_reason"] = "stop";
  event["usage"]["completion_tokens"] = 3;
  return "data: " + event.dump() + "\n\n";
}

}  // namespace camphorsail
