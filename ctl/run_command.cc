#include "ctl/run_command.h"

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ctl/check_config.h"
#include "ctl/exit_code.h"
#include "ctl/render.h"
#include "ctl/settings_edits.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

using nlohmann::json;

constexpr int kMaxResends = 3;
constexpr absl::Duration kResendDelay = absl::Milliseconds(200);
/// Error codes which mean that the VM or the fleet is not ready.
constexpr std::array<const char*, 5> kNotReadyCodes = {
    "not_ready", "lease_expired", "quorum_lost", "shutting_down", "not_leader"};

std::string PercentEncode(const std::string& text) {
  char* const encoded =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = encoded == nullptr ? "" : encoded;
  curl_free(encoded);
  return result;
}

std::string MakeTarget(
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& query) {
  std::string target = absl::StrCat("/admin/v1/", path);
  char separator = '?';
  for (const auto& [name, value] : query) {
    target += separator;
    absl::StrAppend(&target, name, "=", PercentEncode(value));
    separator = '&';
  }
  return target;
}

std::string Dump(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

/// Executes one command and collects what it prints.
class CommandRunner {
 public:
  CommandRunner(const Command& command, const CommandContext& context)
      : command_(command), context_(context) {}

  CommandResult Run() {
    switch (command_.kind) {
      case CommandKind::kSettingsGet:
        RunQuery("settings", SettingsQuery());
        break;
      case CommandKind::kSettingsSet:
      case CommandKind::kSettingsUnset:
        RunSetOrUnset();
        break;
      case CommandKind::kSettingsApply:
      case CommandKind::kSettingsDiff:
        RunApplyOrDiff();
        break;
      case CommandKind::kSettingsExport:
        RunQuery("settings/export", {});
        break;
      case CommandKind::kSettingsHistory:
        RunQuery("settings/history", command_.query);
        break;
      case CommandKind::kServers:
        RunQuery("servers", {});
        break;
      case CommandKind::kEngines:
        RunQuery("engines", {});
        break;
      case CommandKind::kEnginesSet:
      case CommandKind::kEnginesRemove:
        RunEngineChange();
        break;
      case CommandKind::kQuarantine:
        RunQuery("quarantine", {});
        break;
      case CommandKind::kQuarantineRelease:
        RunQuarantineRelease();
        break;
      case CommandKind::kDuties:
        RunQuery("duties", {});
        break;
      case CommandKind::kDutiesHold:
      case CommandKind::kDutiesResume:
        RunOrderHold();
        break;
      case CommandKind::kStatus:
        RunQuery("status", {});
        break;
      case CommandKind::kRefusedMinutes:
        RunRefusedMinutes();
        break;
      case CommandKind::kTimeline:
        RunQuery("timeline", command_.query);
        break;
      case CommandKind::kDrain:
        RunDrain();
        break;
      case CommandKind::kConfigCheck:
        result_ = CheckConfig(command_, context_.call);
        break;
      case CommandKind::kExplain:
      case CommandKind::kLogEvents:
        // `main` executes these; they call no VM.
        break;
    }
    return std::move(result_);
  }

 private:
  std::vector<std::pair<std::string, std::string>> SettingsQuery() const {
    std::vector<std::pair<std::string, std::string>> query = {
        {"path", command_.path}};
    if (command_.explain) {
      query.emplace_back("explain", "1");
    }
    return query;
  }

  void FailWith(int exit_code, const std::string& message) {
    result_.exit_code = exit_code;
    absl::StrAppend(&result_.errors, "camphorsailctl: ", message, "\n");
  }

  /// Records an error when the call failed or its status is not 2xx.
  /// @return True when there is no error.
  bool CheckAnswer(const AdminResponse& response) {
    if (response.outcome != AdminOutcome::kAnswered) {
      FailWith(kExitFailure,
               absl::StrCat(command_.admin_url, ": ", response.error));
      return false;
    }
    if (response.status >= 200 && response.status < 300) {
      return true;
    }
    std::string code;
    std::string message;
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") &&
        body.at("error").is_object()) {
      const json& error = body.at("error");
      if (error.contains("code") && error.at("code").is_string()) {
        code = error.at("code").get<std::string>();
      }
      if (error.contains("message") && error.at("message").is_string()) {
        message = error.at("message").get<std::string>();
      }
    }
    int exit_code = kExitFailure;
    if (code == "settings_conflict") {
      exit_code = kExitConflict;
    } else if (std::find(kNotReadyCodes.begin(), kNotReadyCodes.end(), code) !=
               kNotReadyCodes.end()) {
      exit_code = kExitNotReady;
    }
    FailWith(exit_code, absl::StrCat(code.empty() ? "error" : code, " (status ",
                                     response.status, "): ", message));
    return false;
  }

  /// Checks the answer and parses its body.
  /// @return False when an error was recorded.
  bool ParseAnswer(const AdminResponse& response, json* answer) {
    if (!CheckAnswer(response)) {
      return false;
    }
    *answer = json::parse(response.body, nullptr, false);
    if (!answer->is_object()) {
      FailWith(kExitFailure, "the VM's answer is not a JSON object");
      return false;
    }
    return true;
  }

  bool Get(const std::string& path,
           const std::vector<std::pair<std::string, std::string>>& query,
           json* answer) {
    return ParseAnswer(context_.call({"GET", MakeTarget(path, query), ""}),
                       answer);
  }

  void Print(const json& answer) {
    absl::StrAppend(&result_.output, command_.json
                                         ? Dump(answer)
                                         : RenderAnswer(command_.kind, answer));
  }

  void RunQuery(const std::string& path,
                const std::vector<std::pair<std::string, std::string>>& query) {
    json answer;
    if (!Get(path, query, &answer)) {
      return;
    }
    Print(answer);
    if (command_.kind == CommandKind::kStatus && answer.contains("ready") &&
        answer.at("ready") == false) {
      result_.exit_code = kExitNotReady;
    }
  }

  /// The VM renders the requested format, so its answer is printed unchanged.
  void RunRefusedMinutes() {
    const AdminResponse response = context_.call(
        {"GET", MakeTarget("refused-minutes", command_.query), ""});
    if (CheckAnswer(response)) {
      result_.output = response.body;
    }
  }

  void RunDrain() {
    json body = json::object();
    if (!command_.vm.empty()) {
      body["vm"] = command_.vm;
    }
    json answer;
    if (ParseAnswer(
            context_.call({"POST", MakeTarget("drain", {}), body.dump()}),
            &answer)) {
      Print(answer);
    }
  }

  void RunQuarantineRelease() {
    Post("quarantine",
         {{"release", command_.entry}, {"operator", command_.operator_name}});
  }

  void RunOrderHold() {
    Post("duties", {{"service", command_.service},
                    {"hold", command_.kind == CommandKind::kDutiesHold},
                    {"operator", command_.operator_name}});
  }

  void Post(const std::string& path, const json& body) {
    json answer;
    if (ParseAnswer(context_.call({"POST", MakeTarget(path, {}),
                                   body.dump(-1, ' ', false,
                                             json::error_handler_t::replace)}),
                    &answer)) {
      Print(answer);
    }
  }

  void RunEngineChange() {
    json body = {{"server", command_.server}};
    if (command_.kind == CommandKind::kEnginesRemove) {
      body["remove"] = true;
    } else {
      body["artifacts"] = json::array();
      for (const std::string& text : command_.artifacts) {
        const size_t at = text.rfind('@');
        const std::string name = text.substr(0, at);
        const size_t plus = name.find('+');
        body["artifacts"].push_back(
            {{"model", name.substr(0, plus)},
             {"adapter",
              plus == std::string::npos ? "" : name.substr(plus + 1)},
             {"version", text.substr(at + 1)}});
      }
      body["role"] = command_.role;
      body["need"] = command_.load_priority;
    }
    json answer;
    if (ParseAnswer(
            context_.call({"POST", MakeTarget("engines", {}), body.dump()}),
            &answer)) {
      Print(answer);
    }
  }

  void RunSetOrUnset() {
    json edits = json::array();
    for (const auto& [key, value] : command_.values) {
      edits.push_back({{"path", command_.path},
                       {"key", key},
                       {"value", ParseSettingValue(key, value)}});
    }
    for (const std::string& key : command_.keys) {
      edits.push_back(
          {{"path", command_.path}, {"key", key}, {"remove", true}});
    }
    std::optional<uint64_t> base_version = command_.base_version;
    if (!base_version) {
      json current;
      if (!Get("settings", {{"path", "fleet"}}, &current)) {
        return;
      }
      base_version = VersionOf(current);
    }
    SendChange(*base_version, edits);
  }

  void RunApplyOrDiff() {
    const json file = json::parse(command_.file_text, nullptr, false);
    if (!file.is_object() || !file.contains("tree")) {
      FailWith(
          kExitUsage,
          "FILE: expected a JSON object with a member \"tree\", as printed "
          "by settings export");
      return;
    }
    json current;
    if (!Get("settings/export", {}, &current)) {
      return;
    }
    const Expected<json> edits = DiffSettingsTrees(
        current.value("tree", json::object()), file.at("tree"));
    if (!edits) {
      FailWith(kExitUsage, absl::StrCat("FILE: ", edits.error().message));
      return;
    }
    if (command_.kind == CommandKind::kSettingsDiff) {
      result_.output =
          command_.json
              ? Dump({{"version", VersionOf(current)}, {"edits", *edits}})
              : RenderEdits(*edits);
      return;
    }
    if (edits->empty()) {
      absl::StrAppend(
          &result_.errors,
          "camphorsailctl: nothing to change; FILE equals the settings\n");
      return;
    }
    // The change is based on the version of the export. If another change was
    // accepted since, the VM reports a conflict; applying the file to the
    // current version would revert that change.
    const uint64_t base_version = command_.base_version.value_or(
        file.contains("version") ? VersionOf(file) : VersionOf(current));
    SendChange(base_version, *edits);
  }

  static uint64_t VersionOf(const json& object) {
    return object.contains("version") &&
                   object.at("version").is_number_unsigned()
               ? object.at("version").get<uint64_t>()
               : 0;
  }

  /// @return True when it is unknown whether the change was accepted: the
  /// answer was lost, or the VM reports that it does not know the outcome.
  static bool IsOutcomeUnknown(const AdminResponse& response) {
    if (response.outcome == AdminOutcome::kAnswerLost) {
      return true;
    }
    return response.outcome == AdminOutcome::kAnswered &&
           response.body.find("\"outcome_unknown\"") != std::string::npos;
  }

  void SendChange(uint64_t base_version, const json& edits) {
    const json body = {{"change_id", command_.change_id},
                       {"base_version", base_version},
                       {"operator", command_.operator_name},
                       {"edits", edits}};
    const AdminRequest request = {
        "POST", MakeTarget("settings", {}),
        body.dump(-1, ' ', false, json::error_handler_t::replace)};
    context_.report(absl::StrCat("change id: ", command_.change_id));
    AdminResponse response = context_.call(request);
    // Once the outcome of an attempt is unknown, the request is also sent again
    // after a failed connection, which says nothing about the earlier attempt.
    const bool may_be_executed = IsOutcomeUnknown(response);
    for (int i = 0; i < kMaxResends && may_be_executed &&
                    (response.outcome != AdminOutcome::kAnswered ||
                     IsOutcomeUnknown(response));
         ++i) {
      context_.sleep(kResendDelay * (1 << i));
      response = context_.call(request);
    }
    json answer;
    if (ParseAnswer(response, &answer)) {
      Print(answer);
    } else if (may_be_executed &&
               (response.outcome != AdminOutcome::kAnswered ||
                IsOutcomeUnknown(response))) {
      absl::StrAppend(
          &result_.errors,
          "camphorsailctl: the change may be in effect; repeat the command "
          "with --change-id ",
          command_.change_id, " --base-version ", base_version, "\n");
    }
  }

  const Command& command_;
  const CommandContext& context_;
  CommandResult result_;
};

}  // namespace

CommandResult RunCommand(const Command& command,
                         const CommandContext& context) {
  return CommandRunner(command, context).Run();
}

}  // namespace camphorsail::ctl
