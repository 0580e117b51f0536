#include "camphorsail/process/options.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "camphorsail/process/command_line.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/option_spec.h"
#include "tclap/CmdLine.h"

namespace camphorsail {
namespace {

constexpr int kUsageError = 2;

/// Environment variables that other programs of this project read. They may be
/// set when a daemon is started from an operator's shell.
constexpr std::array<const char*, 1> kVariablesOfOtherPrograms = {
    "CAMPHORSAIL_ADMIN"};
constexpr char kNodeFileVariable[] = "CAMPHORSAIL_NODE_FILE";

/// The text of a setting and the source it was read from.
struct SourcedValue {
  std::string value;
  /// For example `flag --tick-ms`.
  std::string source;
  bool is_set = false;
};

/// The parsed command line.
struct CommandLine {
  std::map<std::string, std::string> values;
  std::string node_file;
  bool check = false;
  bool help = false;
  bool version = false;
  std::string error;
};

CommandLine ParseCommandLine(const std::vector<std::string>& arguments) {
  std::vector<std::string> split = SplitFlagValues(arguments);
  CommandLine result;
  try {
    TCLAP::CmdLine parser("", ' ', CAMPHORSAIL_VERSION,
                          /*helpAndVersion=*/false);
    parser.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> node_file("", "node-file", "", false, "",
                                           "value", parser);
    TCLAP::SwitchArg check("", "check", "", parser);
    TCLAP::SwitchArg help("", "help", "", parser);
    TCLAP::SwitchArg version("", "version", "", parser);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
    for (const OptionSpec& spec : OptionsTable()) {
      flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
          "", spec.name, "", false, "", "value", parser));
    }
    parser.parse(split);
    for (const auto& flag : flags) {
      if (flag->isSet()) {
        result.values[flag->getName()] = flag->getValue();
      }
    }
    result.node_file = node_file.getValue();
    result.check = check.getValue();
    result.help = help.getValue();
    result.version = version.getValue();
  } catch (const TCLAP::ArgException& e) {
    result.error = absl::StrCat("command line: ", e.argId(), ": ", e.error(),
                                "; --help lists the flags");
  }
  return result;
}

std::string HelpText() {
  std::string text =
      "camphorsaild - router for language-model traffic\n\n"
      "Each setting can be given as a flag, an environment variable or a line "
      "of the\nsettings file. A flag overrides a variable, which overrides the "
      "file, which\noverrides the default.\n\n";
  for (const OptionSpec& spec : OptionsTable()) {
    absl::StrAppend(&text, "  --", spec.name, " VALUE  (",
                    VariableName(spec.name), ")\n      ", spec.help,
                    "\n      Allowed: ", spec.allowed, ". ",
                    spec.default_value.empty()
                        ? std::string("No default.")
                        : absl::StrCat("Default: ", spec.default_value, "."),
                    spec.reloadable ? " Read again at SIGHUP." : "", "\n");
  }
  absl::StrAppend(&text,
                  "  --node-file FILE  (CAMPHORSAIL_NODE_FILE)\n"
                  "      Settings file: lines 'name = value' with the names of "
                  "the flags; a line\n      without a value sets nothing, and "
                  "'#' begins a comment.\n"
                  "  --check    Print the settings with their sources and "
                  "exit.\n"
                  "  --version  Print the version and exit.\n"
                  "  --help     Print this text and exit.\n\n"
                  "Exit codes: 0 after a graceful stop, 2 for wrong "
                  "settings, 1 for other failures.\n");
  return text;
}

/// @return One error per variable that no setting declares.
std::vector<std::string> FindUnknownVariables(
    const std::map<std::string, std::string>& variables) {
  std::set<std::string> known(kVariablesOfOtherPrograms.begin(),
                              kVariablesOfOtherPrograms.end());
  known.insert(kNodeFileVariable);
  for (const OptionSpec& spec : OptionsTable()) {
    known.insert(VariableName(spec.name));
  }
  std::vector<std::string> errors;
  for (const auto& [name, value] : variables) {
    if (!known.contains(name)) {
      errors.push_back(absl::StrCat(name,
                                    ": unknown variable; --help lists the "
                                    "variables"));
    }
  }
  return errors;
}

/// Reads the settings file into `values`.
/// @return One error per line that cannot be parsed, or one error when the file
/// cannot be read.
std::vector<std::string> ReadNodeFile(
    const std::string& path,
    std::map<std::string, std::string>* values) {
  std::ifstream file(path);
  if (!file) {
    return {absl::StrCat("settings file ", path, ": cannot be read")};
  }
  std::set<std::string> names;
  for (const OptionSpec& spec : OptionsTable()) {
    names.insert(spec.name);
  }
  std::vector<std::string> errors;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const absl::string_view text = absl::StripAsciiWhitespace(line);
    if (text.empty() || text.front() == '#') {
      continue;
    }
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(text, absl::MaxSplits('=', 1));
    const std::string name(absl::StripAsciiWhitespace(parts.first));
    const std::string value(absl::StripAsciiWhitespace(parts.second));
    if (!names.contains(name) || !absl::StrContains(text, "=")) {
      errors.push_back(absl::StrCat("settings file ", path, ", line ", number,
                                    ": unknown setting or missing '=': '", name,
                                    "'"));
    } else if (!value.empty()) {
      (*values)[name] = value;
    }
  }
  return errors;
}

OptionsOutcome FailWith(const std::vector<std::string>& errors) {
  OptionsOutcome outcome;
  outcome.exit_code = kUsageError;
  for (const std::string& error : errors) {
    absl::StrAppend(&outcome.errors, "camphorsaild: ", error, "\n");
  }
  return outcome;
}

}  // namespace

std::string ToString(const Roles& roles) {
  std::vector<std::string> names;
  if (roles.entry) {
    names.emplace_back("entry");
  }
  if (roles.replica) {
    names.emplace_back("replica");
  }
  if (roles.relay) {
    names.emplace_back("relay");
  }
  if (roles.gateway) {
    names.emplace_back("gateway");
  }
  return absl::StrJoin(names, ",");
}

OptionsOutcome ParseOptions(
    const std::vector<std::string>& arguments,
    const std::vector<std::pair<std::string, std::string>>& environment) {
  const CommandLine command_line = ParseCommandLine(arguments);
  OptionsOutcome outcome;
  if (!command_line.error.empty()) {
    return FailWith({command_line.error});
  }
  if (command_line.help || command_line.version) {
    outcome.output =
        command_line.help
            ? HelpText()
            : absl::StrCat("camphorsaild ", CAMPHORSAIL_VERSION, "\n");
    return outcome;
  }
  std::map<std::string, std::string> variables;
  for (const auto& [name, value] : environment) {
    if (absl::StartsWith(name, "CAMPHORSAIL_")) {
      variables[name] = value;
    }
  }
  std::vector<std::string> errors = FindUnknownVariables(variables);
  std::string node_file = command_line.node_file;
  if (node_file.empty() && variables.contains(kNodeFileVariable)) {
    node_file = variables[kNodeFileVariable];
  }
  std::map<std::string, std::string> file_values;
  if (!node_file.empty()) {
    const std::vector<std::string> file_errors =
        ReadNodeFile(node_file, &file_values);
    errors.insert(errors.end(), file_errors.begin(), file_errors.end());
  }
  Options options;
  std::string listing;
  for (const OptionSpec& spec : OptionsTable()) {
    SourcedValue chosen{spec.default_value, "default",
                        !spec.default_value.empty()};
    const std::string variable = VariableName(spec.name);
    if (const auto flag = command_line.values.find(spec.name);
        flag != command_line.values.end()) {
      chosen = {flag->second, absl::StrCat("flag --", spec.name), true};
    } else if (const auto it = variables.find(variable);
               it != variables.end()) {
      chosen = {it->second, absl::StrCat("variable ", variable), true};
    } else if (const auto line = file_values.find(spec.name);
               line != file_values.end()) {
      chosen = {line->second, absl::StrCat("file ", node_file), true};
    }
    if (chosen.is_set && !spec.store(chosen.value, &options)) {
      errors.push_back(absl::StrCat(
          spec.name, ": ", QuoteLogValue(chosen.value), " from ", chosen.source,
          " is not allowed; allowed: ", spec.allowed));
    }
    options.texts[spec.name] = chosen.value;
    absl::StrAppendFormat(&listing, "%-21s %-32s %s\n", spec.name,
                          QuoteLogValue(chosen.value), chosen.source);
  }
  for (const auto& [name, missing] :
       {std::make_pair("vm", options.vm.value().empty()),
        std::make_pair("failure-domain",
                       options.failure_domain.value().empty())}) {
    if (missing) {
      errors.push_back(absl::StrCat(name, ": missing; set flag --", name,
                                    " or variable ", VariableName(name)));
    }
  }
  if (errors.empty()) {
    errors = FindOptionConflicts(options);
  }
  if (!errors.empty()) {
    return FailWith(errors);
  }
  if (command_line.check) {
    outcome.output = std::move(listing);
    return outcome;
  }
  outcome.options = std::move(options);
  return outcome;
}

std::vector<std::pair<std::string, std::string>> ProcessEnvironment() {
  std::vector<std::pair<std::string, std::string>> result;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string text = *entry;
    const size_t equals = text.find('=');
    if (equals != std::string::npos) {
      result.emplace_back(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return result;
}

}  // namespace camphorsail
