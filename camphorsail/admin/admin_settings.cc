#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/admin/admin_api.h"
#include "camphorsail/admin/admin_request.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/settings/settings_key.h"
#include "camphorsail/settings/settings_store.h"
#include "camphorsail/timeline/timeline_codec.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxHistoryEntries = 10'000;
constexpr int64_t kDefaultHistoryEntries = 100;
constexpr const char* kDefaultSource = "default";

Json ValuesToJson(const SettingsTree::Values& values) {
  Json json = Json::object();
  for (const auto& [key, value] : values) {
    json[std::string(GetSettingsKeyInfo(key).name)] =
        SettingsValueToJson(value);
  }
  return json;
}

Json TreeToJson(const SettingsTree& tree) {
  Json json = Json::object();
  json["fleet"] = ValuesToJson(tree.fleet());
  for (const auto& [account, node] : tree.accounts()) {
    const std::string path = absl::StrCat("fleet/", account.value());
    json[path] = ValuesToJson(node.values);
    for (const auto& [class_id, values] : node.classes) {
      json[absl::StrCat(path, "/", class_id.value())] = ValuesToJson(values);
    }
  }
  return json;
}

/// @return All values in force at a path, including inherited ones, and with
/// `explain` the path that sets each of them.
Expected<Json> EffectiveValues(const SettingsTree& tree,
                               const std::string& path,
                               bool explain) {
  if (Expected<SettingsTree::Values> own_values = tree.ValuesAt(path);
      !own_values) {
    return tl::unexpected<Error>(own_values.error());
  }
  Json values = Json::object();
  for (const SettingsKeyInfo& info : GetSettingsKeys()) {
    const Expected<SettingsExplanation> found = tree.Explain(path, info.name);
    if (!found) {
      // Not expected: the path exists and the key is in the table.
      continue;
    }
    Json& value = values[std::string(info.name)];
    value["value"] = Json::parse(found->value_json);
    if (explain) {
      value["source"] =
          found->source_path == kDefaultSource ? "" : found->source_path;
    }
  }
  return values;
}

Json EditToJson(const SettingsEdit& edit) {
  Json json = {{"path", edit.path}, {"key", edit.key}};
  if (edit.remove) {
    json["remove"] = true;
  } else {
    json["value"] = Json::parse(edit.value_json, nullptr, false);
  }
  return json;
}

Expected<SettingsEdit> ParseEdit(const Json& json) {
  SettingsEdit edit;
  if (!json.is_object() || !json.contains("path") ||
      !json["path"].is_string()) {
    return Fail(ErrorKind::kInvalidRequest,
                "each edit must be an object with a string member 'path'");
  }
  edit.path = json["path"].get<std::string>();
  if (json.contains("key")) {
    if (!json["key"].is_string()) {
      return Fail(ErrorKind::kInvalidRequest, "'key' must be a string");
    }
    edit.key = json["key"].get<std::string>();
  }
  const bool remove = json.value("remove", Json(false)) == Json(true);
  if (remove == json.contains("value")) {
    return Fail(ErrorKind::kInvalidRequest,
                "each edit must have either 'value' or '\"remove\": true'");
  }
  edit.remove = remove;
  if (!remove) {
    edit.value_json =
        json["value"].dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  return edit;
}

Expected<SettingsChange> ParseChange(const Json& body) {
  for (const auto& [name, value] : body.items()) {
    if (name != "change_id" && name != "base_version" && name != "operator" &&
        name != "edits") {
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat("unknown member '", name, "'"));
    }
  }
  SettingsChange change;
  try {
    change.change_id = ChangeId(body.at("change_id").get<std::string>());
    change.base_version =
        SettingsVersion(body.at("base_version").get<uint64_t>());
    change.operator_name = body.at("operator").get<std::string>();
    for (const Json& item : body.at("edits")) {
      Expected<SettingsEdit> edit = ParseEdit(item);
      if (!edit) {
        return tl::unexpected<Error>(edit.error());
      }
      change.edits.push_back(*std::move(edit));
    }
  } catch (const Json::exception&) {
    return Fail(ErrorKind::kInvalidRequest,
                "'change_id', 'base_version', 'operator' and 'edits' are "
                "required, with the types of docs/admin-api.md");
  }
  return change;
}

}  // namespace

Expected<HttpResponse> AdminApi::GetSettings(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {"path", "explain"}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const std::string path =
      request.Query("path").empty() ? "fleet" : request.Query("path");
  const bool explain = request.Query("explain") == "1";
  const bool current = WaitForCurrentState();
  Expected<Json> values;
  uint64_t version = 0;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const SettingsStore& settings = node.state().settings();
    values = EffectiveValues(settings.tree(), path, explain);
    version = settings.version().value();
  });
  if (!values) {
    return tl::unexpected<Error>(values.error());
  }
  return JsonResponse({{"version", version},
                       {"path", path},
                       {"current", current},
                       {"values", *std::move(values)}});
}

Expected<HttpResponse> AdminApi::ExportSettings(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const bool current = WaitForCurrentState();
  Json body;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const SettingsStore& settings = node.state().settings();
    body = {{"version", settings.version().value()},
            {"current", current},
            {"tree", TreeToJson(settings.tree())}};
  });
  return JsonResponse(body);
}

Expected<HttpResponse> AdminApi::ChangeSettings(const HttpRequest& request) {
  Expected<Json> body = ParseBody(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  Expected<SettingsChange> change = ParseChange(*body);
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  // True when a change with this id was accepted before. Only reported to the
  // operator; the settings store itself detects resent changes.
  bool resent = false;
  if (WaitForCurrentState()) {
    dependencies_.control->Inspect([&](const ControlNode& node) {
      for (const SettingsHistoryEntry& entry :
           node.state().settings().history()) {
        resent = resent || entry.change_id == change->change_id;
      }
    });
  }
  const ChangeId change_id = change->change_id;
  LogEvent("settings_change_submitted")
      .Add("change", change_id)
      .Add("operator", change->operator_name)
      .Add("base_version", change->base_version)
      .Add("edits", change->edits.size());
  Expected<CommandResult> result =
      dependencies_.control->Submit(*std::move(change));
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  if (result->error.has_value()) {
    return tl::unexpected<Error>(*result->error);
  }
  return JsonResponse({{"version", result->settings_version.value()},
                       {"change_id", change_id.value()},
                       {"resent", resent}});
}

Expected<HttpResponse> AdminApi::GetHistory(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {"limit"}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const Expected<int64_t> limit = IntegerParameter(
      request, "limit", 1, kMaxHistoryEntries, kDefaultHistoryEntries);
  if (!limit) {
    return tl::unexpected<Error>(limit.error());
  }
  const bool current = WaitForCurrentState();
  Json changes = Json::array();
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const auto& history = node.state().settings().history();
    for (auto entry = history.rbegin();
         entry != history.rend() &&
         changes.size() < static_cast<size_t>(*limit);
         ++entry) {
      Json edits = Json::array();
      for (const SettingsEdit& edit : entry->edits) {
        edits.push_back(EditToJson(edit));
      }
      changes.push_back({{"version", entry->version.value()},
                         {"change_id", entry->change_id.value()},
                         {"operator", entry->operator_name},
                         {"time", FormatWallMicros(entry->wall_micros)},
                         {"edits", std::move(edits)}});
    }
  });
  return JsonResponse({{"current", current}, {"changes", std::move(changes)}});
}

}  // namespace camphorsail
