#include "ctl/render.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "camphorsail/base/text_table.h"
#include "camphorsail/timeline/timeline_codec.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

using nlohmann::json;

/// @return The value as a table cell.
std::string FormatCell(const json& value) {
  if (value.is_null()) {
    return {};
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_array()) {
    std::vector<std::string> items;
    for (const json& item : value) {
      items.push_back(FormatCell(item));
    }
    return absl::StrJoin(items, ",");
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// @return The member as a table cell; an empty text when it is missing.
std::string FormatMember(const json& object, const char* key) {
  return object.is_object() && object.contains(key) ? FormatCell(object.at(key))
                                                    : std::string();
}

/// @return The member when it is an array, otherwise an empty array.
json ArrayMember(const json& object, const char* key) {
  return object.is_object() && object.contains(key) && object.at(key).is_array()
             ? object.at(key)
             : json::array();
}

/// The columns of a table: heading and JSON member of each.
using Columns = std::vector<std::pair<const char*, const char*>>;

std::string RenderRows(const json& rows, const Columns& columns) {
  std::vector<std::string> header;
  for (const auto& [heading, key] : columns) {
    header.emplace_back(heading);
  }
  TextTable table(std::move(header));
  for (const json& row : rows) {
    std::vector<std::string> cells;
    for (const auto& [heading, key] : columns) {
      cells.push_back(FormatMember(row, key));
    }
    table.AddRow(std::move(cells));
  }
  return table.Render();
}

std::string RenderSettings(const json& answer) {
  const json values = answer.value("values", json::object());
  TextTable table({"KEY", "VALUE", "SOURCE"});
  for (const auto& [key, entry] : values.items()) {
    table.AddRow(
        {key, FormatMember(entry, "value"), FormatMember(entry, "source")});
  }
  return absl::StrCat("version ", FormatMember(answer, "version"), ", path ",
                      EscapeControlCharacters(FormatMember(answer, "path")),
                      "\n", table.Render());
}

std::string RenderHistory(const json& answer) {
  TextTable table({"VERSION", "TIME", "OPERATOR", "CHANGE", "EDIT"});
  for (const json& change : ArrayMember(answer, "changes")) {
    std::vector<std::string> row = {
        FormatMember(change, "version"), FormatMember(change, "time"),
        FormatMember(change, "operator"), FormatMember(change, "change_id")};
    for (const json& edit : ArrayMember(change, "edits")) {
      std::string text = RenderEdits(json::array({edit}));
      text.pop_back();
      row.push_back(std::move(text));
      table.AddRow(std::move(row));
      // In the rows of the change's further edits the other cells are empty.
      row = std::vector<std::string>(4);
    }
  }
  return table.Render();
}

std::string RenderStatus(const json& answer) {
  TextTable table({"FIELD", "VALUE"});
  for (const char* key :
       {"vm", "ready", "role", "term", "leader", "commit_index",
        "lease_remaining_ms", "further_losses_survived", "settings_version"}) {
    table.AddRow({key, FormatMember(answer, key)});
  }
  return absl::StrCat(table.Render(), "\nVoters\n",
                      RenderRows(ArrayMember(answer, "voters"),
                                 {{"VM", "vm"},
                                  {"FAILURE DOMAIN", "failure_domain"},
                                  {"REACHABLE", "reachable"}}),
                      "\nPeers\n",
                      RenderRows(ArrayMember(answer, "peers"),
                                 {{"VM", "vm"},
                                  {"ADDRESS", "address"},
                                  {"CONNECTED", "connected"},
                                  {"SENT", "messages_sent"},
                                  {"RECEIVED", "messages_received"},
                                  {"DROPPED", "messages_dropped"}}));
}

std::string RenderTimeline(const json& answer) {
  const Expected<TimelineSlice> slice = TimelineFromJson(answer);
  std::string text =
      slice ? TimelineToText(*slice)
            : absl::StrCat("malformed timeline: ", slice.error().message, "\n");
  for (const json& vm : ArrayMember(answer, "unreachable_vms")) {
    absl::StrAppend(&text, "No events from ",
                    EscapeControlCharacters(FormatCell(vm)),
                    ", which did not answer.\n");
  }
  return text;
}

/// @return The artifacts and the role of a desired or observed state.
std::string FormatEngineState(const json& state) {
  if (!state.is_object()) {
    return "-";
  }
  std::vector<std::string> parts;
  for (const json& artifact : ArrayMember(state, "artifacts")) {
    const std::string adapter = FormatMember(artifact, "adapter");
    parts.push_back(absl::StrCat(FormatMember(artifact, "model"),
                                 adapter.empty() ? "" : "+", adapter, "@",
                                 FormatMember(artifact, "version")));
  }
  return absl::StrCat(absl::StrJoin(parts, ","), " ",
                      FormatMember(state, "role"));
}

/// @return The operation and the fencing token of an open order.
std::string FormatOrder(const json& order) {
  if (!order.is_object()) {
    return "-";
  }
  const json token = order.value("fencing_token", json::object());
  return absl::StrCat(FormatMember(order, "operation"), " (",
                      FormatMember(token, "term"), ",",
                      FormatMember(token, "counter"), ")");
}

std::string RenderEngines(const json& answer) {
  json rows = json::array();
  for (const json& engine : ArrayMember(answer, "engines")) {
    if (engine.is_object()) {
      rows.push_back(
          {{"server", FormatMember(engine, "server")},
           {"desired", FormatEngineState(engine.value("desired", json()))},
           {"observed", FormatEngineState(engine.value("observed", json()))},
           {"order", FormatOrder(engine.value("open_order", json()))}});
    }
  }
  return RenderRows(rows, {{"SERVER", "server"},
                           {"DESIRED", "desired"},
                           {"OBSERVED", "observed"},
                           {"OPEN ORDER", "order"}});
}

std::string RenderQuarantine(const json& answer) {
  return absl::StrCat(
      "version ", FormatMember(answer, "version"),
      answer.value("current", false) ? "\n" : ", may be out of date\n",
      RenderRows(ArrayMember(answer, "entries"), {{"ENTRY", "entry"},
                                                  {"PARTS", "parts"},
                                                  {"CRASHES", "crashes"},
                                                  {"SINCE", "since"},
                                                  {"NEXT TRIAL", "trial_at"},
                                                  {"TRIALS", "trials"},
                                                  {"TRIAL AT", "trial_vm"}}),
      "\nEnds of servers\n",
      RenderRows(ArrayMember(answer, "crashes"), {{"CRASH", "crash"},
                                                  {"AGE MS", "age_ms"},
                                                  {"SUSPECTS", "suspects"},
                                                  {"CLEARED", "cleared"}}));
}

std::string RenderDuties(const json& answer) {
  const json holder = answer.value("holder", json::object());
  const json totals =
      json::array({{{"key", "holder"}, {"value", FormatMember(holder, "vm")}},
                   {{"key", "token"}, {"value", FormatMember(holder, "token")}},
                   {{"key", "term"}, {"value", FormatMember(holder, "term")}},
                   {{"key", "last settled window"},
                    {"value", FormatMember(answer, "last_settled_window")}},
                   {{"key", "abandoned windows"},
                    {"value", FormatMember(answer, "abandoned_windows")}}});
  return absl::StrCat(
      answer.value("current", false) ? "" : "may be out of date\n",
      RenderRows(totals, {{"DUTIES", "key"}, {"", "value"}}),
      "\nUsage reports that are agreed and not accepted\n",
      RenderRows(ArrayMember(answer, "open_windows"),
                 {{"WINDOW", "window"},
                  {"ACCOUNTS", "accounts"},
                  {"REQUESTS", "requests"}}),
      "\nLast accepted orders\n",
      RenderRows(ArrayMember(answer, "orders"),
                 {{"SERVICE", "service"},
                  {"FAILURE DOMAIN", "failure_domain"},
                  {"TENURE", "tenure"},
                  {"COUNT", "count"},
                  {"TOKEN", "token"}}),
      "\nServices on hold\n",
      RenderRows(ArrayMember(answer, "holds"),
                 {{"SERVICE", "service"}, {"OPERATOR", "operator"}}));
}

}  // namespace

std::string RenderEdits(const json& edits) {
  std::string text;
  for (const json& edit : edits) {
    const bool remove = edit.contains("remove");
    absl::StrAppend(&text, remove ? "- " : "+ ", FormatMember(edit, "path"),
                    " ", FormatMember(edit, "key"));
    if (!remove && edit.contains("value")) {
      absl::StrAppend(&text, " = ",
                      edit.at("value").dump(-1, ' ', false,
                                            json::error_handler_t::replace));
    }
    text += '\n';
  }
  return text;
}

std::string RenderAnswer(CommandKind kind, const json& answer) {
  switch (kind) {
    case CommandKind::kSettingsGet:
      return RenderSettings(answer);
    case CommandKind::kSettingsSet:
    case CommandKind::kSettingsUnset:
    case CommandKind::kSettingsApply:
      return absl::StrCat(
          "version ", FormatMember(answer, "version"), ", change ",
          EscapeControlCharacters(FormatMember(answer, "change_id")),
          answer.value("resent", false) ? " (accepted earlier)\n" : "\n");
    case CommandKind::kSettingsHistory:
      return RenderHistory(answer);
    case CommandKind::kServers:
      return RenderRows(ArrayMember(answer, "servers"),
                        {{"SERVER", "server"},
                         {"KIND", "kind"},
                         {"STATE", "state"},
                         {"FAILURE DOMAIN", "failure_domain"},
                         {"ADDRESS", "address"},
                         {"TARGETS", "targets"},
                         {"CAPACITY", "capacity"},
                         {"RUNNING", "running"},
                         {"WAITING", "waiting"},
                         {"IN FLIGHT", "in_flight"},
                         {"REPORT AGE MS", "report_age_ms"}});
    case CommandKind::kEngines:
      return RenderEngines(answer);
    case CommandKind::kEnginesSet:
    case CommandKind::kEnginesRemove:
      return absl::StrCat(
          "accepted for ",
          EscapeControlCharacters(FormatMember(answer, "server")), "\n");
    case CommandKind::kQuarantine:
      return RenderQuarantine(answer);
    case CommandKind::kQuarantineRelease:
      return absl::StrCat(
          "released ", EscapeControlCharacters(FormatMember(answer, "entry")),
          "\n");
    case CommandKind::kDuties:
      return RenderDuties(answer);
    case CommandKind::kDutiesHold:
    case CommandKind::kDutiesResume:
      return absl::StrCat(
          answer.value("hold", false) ? "on hold: " : "resumed: ",
          EscapeControlCharacters(FormatMember(answer, "service")), "\n");
    case CommandKind::kStatus:
      return RenderStatus(answer);
    case CommandKind::kTimeline:
      return RenderTimeline(answer);
    case CommandKind::kDrain:
      return absl::StrCat("draining ",
                          EscapeControlCharacters(FormatMember(answer, "vm")),
                          "\n");
    case CommandKind::kSettingsDiff:
    case CommandKind::kSettingsExport:
    case CommandKind::kRefusedMinutes:
    case CommandKind::kExplain:
    case CommandKind::kLogEvents:
    case CommandKind::kConfigCheck:
      break;
  }
  return absl::StrCat(
      answer.dump(2, ' ', false, json::error_handler_t::replace), "\n");
}

}  // namespace camphorsail::ctl
