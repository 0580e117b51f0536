#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/time/time.h"
#include "camphorsail/admin/admin_api.h"
#include "camphorsail/admin/admin_request.h"
#include "camphorsail/quarantine/quarantine_store.h"

// The prompt parts that end backend servers.
namespace camphorsail {
namespace {

using Json = nlohmann::json;

std::string FormatTime(int64_t micros) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMicros(micros),
                          absl::UTCTimeZone());
}

Json EntryToJson(const QuarantineEntry& entry) {
  Json parts = Json::array();
  for (const PromptPartHash part : entry.parts) {
    parts.push_back(ToHex(part));
  }
  return {{"entry", ToHex(entry.id)},
          {"parts", std::move(parts)},
          {"crashes", entry.crashes},
          {"since", FormatTime(entry.since_micros)},
          {"trial_at", FormatTime(entry.trial_at_micros)},
          {"trials", entry.trials},
          {"trial_vm", entry.trial_vm.value()}};
}

Json CrashToJson(const CrashRecord& record) {
  Json suspects = Json::array();
  Json cleared = Json::array();
  for (const CrashSuspect& suspect : record.suspects) {
    (suspect.cleared ? cleared : suspects).push_back(ToHex(suspect.part));
  }
  return {{"crash", ToHex(record.crash)},
          {"age_ms", record.age_ms},
          {"suspects", std::move(suspects)},
          {"cleared", std::move(cleared)}};
}

}  // namespace

Expected<HttpResponse> AdminApi::GetQuarantine(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const bool current = WaitForCurrentState();
  Json answer = {{"current", current}, {"entries", Json::array()}};
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const QuarantineStore& list = node.state().quarantine();
    answer["version"] = list.version();
    for (const QuarantineEntry& entry : list.Entries()) {
      answer["entries"].push_back(EntryToJson(entry));
    }
  });
  answer["crashes"] = Json::array();
  for (const CrashRecord& record : dependencies_.crash_records()) {
    answer["crashes"].push_back(CrashToJson(record));
  }
  return JsonResponse(answer);
}

Expected<HttpResponse> AdminApi::ReleaseQuarantine(const HttpRequest& request) {
  Expected<Json> body = ParseBody(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  uint64_t id = 0;
  if (!body->contains("release") || !(*body)["release"].is_string() ||
      !absl::SimpleHexAtoi((*body)["release"].get<std::string>(), &id)) {
    return Fail(ErrorKind::kInvalidRequest,
                "'release' must be the id of an entry");
  }
  QuarantineChange change;
  change.action = static_cast<uint8_t>(QuarantineAction::kRelease);
  change.operator_name = "unknown";
  if (const auto name = body->find("operator");
      name != body->end() && name->is_string()) {
    change.operator_name = name->get<std::string>();
  }
  WaitForCurrentState();
  dependencies_.control->Inspect([&](const ControlNode& node) {
    if (const QuarantineEntry* entry =
            node.state().quarantine().Find(QuarantineId(id))) {
      change.parts = entry->parts;
    }
  });
  if (change.parts.empty()) {
    return Fail(ErrorKind::kNotFound, "the quarantine has no such entry");
  }
  Expected<CommandResult> result =
      dependencies_.control->Submit(std::move(change));
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  if (result->error.has_value()) {
    return tl::unexpected<Error>(*result->error);
  }
  return JsonResponse({{"entry", ToHex(QuarantineId(id))}});
}

}  // namespace camphorsail
