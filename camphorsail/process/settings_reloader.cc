#include "camphorsail/process/settings_reloader.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "camphorsail/process/option_spec.h"

namespace camphorsail {

void ApplyLogSettings(const Options& options) {
  ConfigureLogger(options.log_level, options.vm);
  SetLogLinesPerSecond(options.log_lines_per_second);
}

bool SettingsReloader::Reload(Options* options) const {
  const OptionsOutcome outcome = ParseOptions(arguments_, environment_);
  if (!outcome.options) {
    std::string errors = outcome.errors;
    absl::StripTrailingAsciiWhitespace(&errors);
    LogEvent("settings_refused", LogLevel::kError)
        .Add("message", absl::StrReplaceAll(errors, {{"\n", "; "}}));
    return false;
  }
  std::vector<std::string> changed;
  std::vector<std::string> needs_restart;
  for (const OptionSpec& spec : OptionsTable()) {
    const std::string& text = outcome.options->texts.at(spec.name);
    if (text == options->texts.at(spec.name)) {
      continue;
    }
    if (!spec.reloadable) {
      needs_restart.push_back(spec.name);
      continue;
    }
    spec.store(text, options);
    options->texts[spec.name] = text;
    changed.push_back(spec.name);
  }
  ApplyLogSettings(*options);
  LogEvent("settings_reloaded")
      .Add("changed", absl::StrJoin(changed, ","))
      .Add("needs_restart", absl::StrJoin(needs_restart, ","));
  return true;
}

}  // namespace camphorsail
