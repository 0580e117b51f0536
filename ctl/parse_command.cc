#include "ctl/parse_command.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "camphorsail/process/command_line.h"
#include "camphorsail/process/option_spec.h"
#include "camphorsail/timeline/timeline_codec.h"
#include "ctl/command_table.h"
#include "ctl/exit_code.h"
#include "tclap/CmdLine.h"

namespace camphorsail::ctl {
namespace {

/// @return The flags that take a value, with their help texts.
const std::vector<std::pair<const char*, const char*>>& ValueFlags() {
  static const auto* const flags =
      new std::vector<std::pair<const char*, const char*>>{
          {"admin",
           "URL of the admin API of any VM (CAMPHORSAIL_ADMIN; default "
           "http://127.0.0.1:8082)"},
          {"secret-file",
           "File with the credential (CAMPHORSAIL_ADMIN_SECRET_FILE)"},
          {"base-version",
           "Version that the change is based on (default: the "
           "current one)"},
          {"change-id",
           "Id of the change (default: random); a change sent again with "
           "the same id gets the original answer"},
          {"operator", "Operator name recorded in the history (default: USER)"},
          {"from", "Start of the period, RFC 3339 or an age such as 15m"},
          {"to", "End of the period, RFC 3339 or an age"},
          {"format", "text, json or csv"},
          {"request", "Request id, hexadecimal"},
          {"account", "Client account"},
          {"server", "Backend server"},
          {"kind", "Kind of event"},
          {"role", "mixed (default), prefill or decode"},
          {"need", "Load priority; larger values are loaded first (default 0)"},
          {"around",
           "Also print state changes within this duration before and after "
           "the request, such as 2s"},
          {"against", "File with the routing document to compare with"},
          {"limit", "Maximum number of entries, 1 to 10000"}};
  return *flags;
}

std::string HelpText() {
  std::string text =
      "camphorsailctl - settings and state of a Camphorsail fleet\n\n";
  for (const CommandSpec& spec : CommandTable()) {
    absl::StrAppend(&text, "  ", absl::StrJoin(spec.words, " "),
                    *spec.operands == '\0' ? "" : " ", spec.operands);
    for (const std::string& flag : spec.flags) {
      absl::StrAppend(&text, " [--", flag, "]");
    }
    absl::StrAppend(&text, "\n      ", spec.help, "\n");
  }
  text += "\nFlags:\n";
  for (const auto& [name, help] : ValueFlags()) {
    absl::StrAppend(&text, "  --", name, " VALUE\n      ", help, "\n");
  }
  text +=
      "  --explain\n      Print the path that each value comes from\n"
      "  --json\n      Print JSON instead of tables\n"
      "  --help, --version\n\n"
      "Exit codes: 0 success, 1 failure, 2 usage, 3 conflict (config check: "
      "warnings only), 4 not ready.\n";
  return text;
}

/// The words and flags of a command line, before they are validated.
struct RawCommand {
  std::vector<std::string> words;
  std::map<std::string, std::string> flags;
  bool explain = false;
  bool json = false;
  bool help = false;
  bool version = false;
};

RawCommand ParseWords(const std::vector<std::string>& arguments) {
  std::vector<std::string> split = SplitFlagValues(arguments);
  TCLAP::CmdLine parser("", ' ', CAMPHORSAIL_VERSION, /*helpAndVersion=*/false);
  parser.setExceptionHandling(false);
  TCLAP::SwitchArg explain("", "explain", "", parser);
  TCLAP::SwitchArg json("", "json", "", parser);
  TCLAP::SwitchArg help("", "help", "", parser);
  TCLAP::SwitchArg version("", "version", "", parser);
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
  for (const auto& [name, text] : ValueFlags()) {
    flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
        "", name, "", false, "", "value", parser));
  }
  // The description must not be empty: TCLAP treats arguments with equal
  // descriptions as the same argument.
  TCLAP::UnlabeledMultiArg<std::string> words("command", "the command", false,
                                              "word", parser);
  parser.parse(split);
  RawCommand raw;
  raw.words = words.getValue();
  for (const auto& flag : flags) {
    if (flag->isSet()) {
      raw.flags[flag->getName()] = flag->getValue();
    }
  }
  raw.explain = explain.getValue();
  raw.json = json.getValue();
  raw.help = help.getValue();
  raw.version = version.getValue();
  return raw;
}

/// Keeps the first usage error. The message is empty while there is none.
class UsageError {
 public:
  void Set(std::string message) {
    if (message_.empty()) {
      message_ = std::move(message);
    }
  }
  const std::string& message() const { return message_; }

 private:
  std::string message_;
};

/// @return The table row of the command; null after an error.
const CommandSpec* FindCommand(const RawCommand& raw, UsageError* error) {
  for (const CommandSpec& spec : CommandTable()) {
    if (raw.words.size() < spec.words.size() ||
        !std::equal(spec.words.begin(), spec.words.end(), raw.words.begin())) {
      continue;
    }
    const size_t operands = raw.words.size() - spec.words.size();
    if (operands >= spec.min_operands && operands <= spec.max_operands) {
      return &spec;
    }
    error->Set(absl::StrCat("usage: camphorsailctl ",
                            absl::StrJoin(spec.words, " "), " ",
                            spec.operands));
    return nullptr;
  }
  error->Set(raw.words.empty()
                 ? "no command; see --help"
                 : absl::StrCat("unknown command: ",
                                absl::StrJoin(raw.words, " "), "; see --help"));
  return nullptr;
}

void CheckFlags(const RawCommand& raw,
                const CommandSpec& spec,
                UsageError* error) {
  const std::string name = absl::StrJoin(spec.words, " ");
  std::set<std::string> allowed(spec.flags.begin(), spec.flags.end());
  allowed.insert({"admin", "secret-file"});
  for (const auto& [flag, value] : raw.flags) {
    if (!allowed.contains(flag)) {
      error->Set(absl::StrCat("--", flag, ": not allowed with ", name));
    }
  }
  if (raw.explain && !allowed.contains("explain")) {
    error->Set(absl::StrCat("--explain: not allowed with ", name));
  }
}

void CheckVariables(const std::map<std::string, std::string>& environment,
                    UsageError* error) {
  // The daemon's variables are accepted too: they may be set in the same shell.
  std::set<std::string> known = {"CAMPHORSAIL_ADMIN"};
  for (const OptionSpec& spec : OptionsTable()) {
    known.insert(VariableName(spec.name));
  }
  for (const auto& [name, value] : environment) {
    if (absl::StartsWith(name, "CAMPHORSAIL_") && !known.contains(name)) {
      error->Set(
          absl::StrCat(name,
                       ": unknown variable; allowed are CAMPHORSAIL_ADMIN, "
                       "CAMPHORSAIL_ADMIN_SECRET_FILE and the daemon's"));
    }
  }
}

std::string ReadFile(const std::string& path,
                     const std::string& source,
                     UsageError* error) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    error->Set(absl::StrCat(source, ": cannot read ", path));
  }
  return text.str();
}

/// @return RFC 3339 in UTC.
std::string ParseTimeFlag(const std::string& flag,
                          const std::string& text,
                          absl::Time wall_now,
                          UsageError* error) {
  absl::Time time;
  absl::Duration age;
  std::string parse_error;
  if (!absl::ParseTime(absl::RFC3339_full, text, &time, &parse_error)) {
    if (!absl::ParseDuration(text, &age) || age < absl::ZeroDuration()) {
      error->Set(absl::StrCat(
          "--", flag, ": ", text,
          " is not allowed; allowed: RFC 3339 such as 2026-01-31T08:00:00Z, "
          "or an age such as 15m or 24h"));
    }
    time = wall_now - age;
  }
  return FormatWallMicros(absl::ToUnixMicros(time));
}

uint64_t ParseNumberFlag(const std::string& flag,
                         const std::string& text,
                         uint64_t min,
                         uint64_t max,
                         UsageError* error) {
  uint64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < min || value > max) {
    error->Set(absl::StrCat("--", flag, ": ", text,
                            " is not allowed; allowed: ", min, " to ", max));
  }
  return value;
}

/// The text of an option and the name of the flag or variable that sets it.
struct SourcedText {
  std::string text;
  std::string source;
};

SourcedText FlagOrVariable(
    const RawCommand& raw,
    const std::map<std::string, std::string>& environment,
    const std::string& flag,
    const std::string& variable) {
  if (const auto it = raw.flags.find(flag); it != raw.flags.end()) {
    return {it->second, absl::StrCat("--", flag)};
  }
  const auto it = environment.find(variable);
  return {it == environment.end() ? "" : it->second, variable};
}

/// Sets the address of the VM.
/// @param url The address and where it was given.
void SetAddress(const SourcedText& url, Command* command, UsageError* error) {
  if (!absl::StartsWith(url.text, "http://") &&
      !absl::StartsWith(url.text, "https://")) {
    error->Set(absl::StrCat(url.source, ": ", url.text,
                            " is not allowed; allowed: an http or https URL"));
  }
  command->admin_url = url.text;
  while (absl::EndsWith(command->admin_url, "/")) {
    command->admin_url.pop_back();
  }
}

/// Sets what `config check` compares the document with.
void SetComparison(const RawCommand& raw,
                   const std::map<std::string, std::string>& environment,
                   Command* command,
                   UsageError* error) {
  const auto against = raw.flags.find("against");
  if (against != raw.flags.end()) {
    command->against_text = ReadFile(against->second, "--against", error);
    return;
  }
  const SourcedText url =
      FlagOrVariable(raw, environment, "admin", "CAMPHORSAIL_ADMIN");
  if (!url.text.empty()) {
    SetAddress(url, command, error);
  }
}

void SetConnection(const RawCommand& raw,
                   const std::map<std::string, std::string>& environment,
                   Command* command,
                   UsageError* error) {
  SourcedText url =
      FlagOrVariable(raw, environment, "admin", "CAMPHORSAIL_ADMIN");
  if (url.text.empty()) {
    url.text = "http://127.0.0.1:8082";
  }
  SetAddress(url, command, error);
  const SourcedText file = FlagOrVariable(raw, environment, "secret-file",
                                          "CAMPHORSAIL_ADMIN_SECRET_FILE");
  if (file.text.empty()) {
    error->Set(
        "no credential; set --secret-file or CAMPHORSAIL_ADMIN_SECRET_FILE");
    return;
  }
  command->secret = ReadFile(file.text, file.source, error);
  while (absl::EndsWith(command->secret, "\n") ||
         absl::EndsWith(command->secret, "\r")) {
    command->secret.pop_back();
  }
  // A line break would end the HTTP header that contains the secret.
  if (command->secret.empty() ||
      command->secret.find_first_of("\r\n") != std::string::npos) {
    error->Set(absl::StrCat(file.source, ": ", file.text,
                            " must contain exactly one line, the credential"));
  }
}

std::string RandomChangeId() {
  std::random_device device;
  return absl::StrFormat("%08x%08x%08x%08x", device(), device(), device(),
                         device());
}

void SetChange(const RawCommand& raw,
               const std::map<std::string, std::string>& environment,
               Command* command,
               UsageError* error) {
  if (const auto it = raw.flags.find("base-version"); it != raw.flags.end()) {
    command->base_version =
        ParseNumberFlag("base-version", it->second, 0, UINT64_MAX, error);
  }
  const auto change_id = raw.flags.find("change-id");
  command->change_id =
      change_id == raw.flags.end() ? RandomChangeId() : change_id->second;
  if (command->change_id.empty()) {
    error->Set("--change-id: must not be empty");
  }
  command->operator_name =
      FlagOrVariable(raw, environment, "operator", "USER").text;
  if (command->operator_name.empty()) {
    command->operator_name = "unknown";
  }
}

void SetQuery(const RawCommand& raw,
              absl::Time wall_now,
              Command* command,
              UsageError* error) {
  for (const std::string name :
       {"request", "account", "server", "kind", "from", "to", "limit"}) {
    const auto it = raw.flags.find(name);
    if (it == raw.flags.end()) {
      continue;
    }
    std::string value = it->second;
    if (name == "from" || name == "to") {
      value = ParseTimeFlag(name, value, wall_now, error);
    } else if (name == "limit") {
      value = absl::StrCat(ParseNumberFlag(name, value, 1, 10'000, error));
    } else if (name == "request") {
      const Expected<RequestId> request = ParseRequestId(value);
      if (request) {
        value = FormatRequestId(*request);
      } else {
        error->Set(absl::StrCat("--request: ", request.error().message));
      }
    }
    command->query.emplace_back(name, value);
  }
}

void SetOperands(const std::vector<std::string>& operands,
                 Command* command,
                 UsageError* error) {
  switch (command->kind) {
    case CommandKind::kSettingsGet:
      command->path = operands.empty() ? "fleet" : operands[0];
      break;
    case CommandKind::kSettingsSet:
      command->path = operands[0];
      if (operands.size() % 2 == 0) {
        error->Set("settings set: each KEY needs a VALUE");
        break;
      }
      for (size_t i = 1; i < operands.size(); i += 2) {
        command->values.emplace_back(operands[i], operands[i + 1]);
      }
      break;
    case CommandKind::kSettingsUnset:
      command->path = operands[0];
      command->keys.assign(operands.begin() + 1, operands.end());
      break;
    case CommandKind::kSettingsApply:
    case CommandKind::kSettingsDiff:
    case CommandKind::kConfigCheck:
      command->file_text = ReadFile(operands[0], "FILE", error);
      break;
    case CommandKind::kEnginesSet:
    case CommandKind::kEnginesRemove:
      command->server = operands[0];
      command->artifacts.assign(operands.begin() + 1, operands.end());
      for (const std::string& artifact : command->artifacts) {
        const size_t at = artifact.rfind('@');
        if (at == std::string::npos || at == 0 || at + 1 == artifact.size()) {
          error->Set(absl::StrCat(artifact,
                                  " is not allowed; allowed: "
                                  "MODEL[+ADAPTER]@VERSION"));
        }
      }
      break;
    case CommandKind::kQuarantineRelease:
      command->entry = operands[0];
      break;
    case CommandKind::kDutiesHold:
    case CommandKind::kDutiesResume:
      command->service = operands[0];
      break;
    case CommandKind::kDrain:
      command->vm = operands.empty() ? "" : operands[0];
      break;
    case CommandKind::kExplain:
      command->request = operands[0];
      command->files.assign(operands.begin() + 1, operands.end());
      break;
    default:
      break;
  }
}

void SetEngineFlags(const RawCommand& raw,
                    Command* command,
                    UsageError* error) {
  const auto role = raw.flags.find("role");
  command->role = role == raw.flags.end() ? "mixed" : role->second;
  const auto load_priority = raw.flags.find("need");
  if (load_priority != raw.flags.end() &&
      !absl::SimpleAtoi(load_priority->second, &command->load_priority)) {
    error->Set(absl::StrCat("--need: ", load_priority->second,
                            " is not allowed; allowed: an integer"));
  }
}

void SetAround(const RawCommand& raw, Command* command, UsageError* error) {
  const auto around = raw.flags.find("around");
  if (around != raw.flags.end() &&
      (!absl::ParseDuration(around->second, &command->around) ||
       command->around < absl::ZeroDuration())) {
    error->Set(absl::StrCat("--around: ", around->second,
                            " is not allowed; allowed: a duration such as "
                            "500ms or 2s"));
  }
}

void SetRefusedMinutesFormat(const RawCommand& raw,
                             Command* command,
                             UsageError* error) {
  const auto format = raw.flags.find("format");
  const std::string default_format = raw.json ? "json" : "text";
  command->format = format == raw.flags.end() ? default_format : format->second;
  if (command->format != "text" && command->format != "json" &&
      command->format != "csv") {
    error->Set(absl::StrCat("--format: ", command->format,
                            " is not allowed; allowed: text, json or csv"));
  }
  if (raw.json && command->format != "json") {
    error->Set("--json: not allowed with --format text or --format csv");
  }
  if (!raw.flags.contains("from") || !raw.flags.contains("to")) {
    error->Set("refused-minutes: needs --from and --to");
  }
  command->query.emplace_back("format", command->format);
}

Command BuildCommand(const RawCommand& raw,
                     const std::map<std::string, std::string>& environment,
                     absl::Time wall_now,
                     UsageError* error) {
  Command command;
  CheckVariables(environment, error);
  const CommandSpec* const spec = FindCommand(raw, error);
  if (spec == nullptr) {
    return command;
  }
  CheckFlags(raw, *spec, error);
  command.kind = spec->kind;
  command.json = raw.json;
  command.explain = raw.explain;
  SetOperands({raw.words.begin() + static_cast<ptrdiff_t>(spec->words.size()),
               raw.words.end()},
              &command, error);
  SetQuery(raw, wall_now, &command, error);
  SetEngineFlags(raw, &command, error);
  SetAround(raw, &command, error);
  if (spec->kind == CommandKind::kRefusedMinutes) {
    SetRefusedMinutesFormat(raw, &command, error);
  }
  if (IsLocalCommand(spec->kind)) {
    return command;
  }
  if (spec->kind == CommandKind::kConfigCheck) {
    SetComparison(raw, environment, &command, error);
    return command;
  }
  SetChange(raw, environment, &command, error);
  SetConnection(raw, environment, &command, error);
  return command;
}

}  // namespace

ParsedCommand ParseCommand(
    const std::vector<std::string>& arguments,
    const std::vector<std::pair<std::string, std::string>>& environment,
    absl::Time wall_now) {
  ParsedCommand parsed;
  UsageError error;
  RawCommand raw;
  try {
    raw = ParseWords(arguments);
  } catch (const TCLAP::ArgException& e) {
    error.Set(absl::StrCat(e.argId(), ": ", e.error(), "; see --help"));
  }
  if (error.message().empty() && raw.help) {
    parsed.output = HelpText();
    return parsed;
  }
  if (error.message().empty() && raw.version) {
    parsed.output = absl::StrCat("camphorsailctl ", CAMPHORSAIL_VERSION, "\n");
    return parsed;
  }
  // TCLAP treats unknown flags as operands. Only after `--` may an operand
  // start with two dashes.
  const bool flags_ended =
      std::find(arguments.begin(), arguments.end(), "--") != arguments.end();
  for (const std::string& word : raw.words) {
    if (!flags_ended && absl::StartsWith(word, "--")) {
      error.Set(absl::StrCat(word, ": unknown flag; see --help"));
    }
  }
  Command command;
  if (error.message().empty()) {
    command = BuildCommand(raw, {environment.begin(), environment.end()},
                           wall_now, &error);
  }
  if (error.message().empty()) {
    parsed.command = std::move(command);
  } else {
    parsed.exit_code = kExitUsage;
    parsed.errors = absl::StrCat("camphorsailctl: ", error.message(), "\n");
  }
  return parsed;
}

}  // namespace camphorsail::ctl
