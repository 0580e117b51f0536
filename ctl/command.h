#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace camphorsail::ctl {

enum class CommandKind : uint8_t {
  kSettingsGet,
  kSettingsSet,
  kSettingsUnset,
  kSettingsApply,
  kSettingsDiff,
  kSettingsExport,
  kSettingsHistory,
  kServers,
  kEngines,
  kEnginesSet,
  kEnginesRemove,
  kQuarantine,
  kQuarantineRelease,
  kDuties,
  kDutiesHold,
  kDutiesResume,
  kStatus,
  kRefusedMinutes,
  kTimeline,
  kDrain,
  kExplain,
  kLogEvents,
  kConfigCheck,
};

/// @return True for a command that reads files only and calls no VM.
inline bool IsLocalCommand(CommandKind kind) {
  return kind == CommandKind::kExplain || kind == CommandKind::kLogEvents;
}

/// A parsed command line. Fields that this kind of command does not use are
/// empty.
struct Command {
  CommandKind kind = CommandKind::kStatus;
  std::string admin_url;
  /// Contents of the secret file.
  std::string secret;
  /// Print the answer as JSON instead of a table.
  bool json = false;

  /// Settings path, such as `fleet/acme/chat`.
  std::string path;
  /// Print the path that each value comes from.
  bool explain = false;
  /// Keys and values of `set`, as written on the command line.
  std::vector<std::pair<std::string, std::string>> values;
  /// Keys of `unset`.
  std::vector<std::string> keys;
  /// Contents of the file given to `apply`, `diff` or `config check`.
  std::string file_text;
  /// Contents of the file that `config check` compares with, if given.
  std::optional<std::string> against_text;
  /// Settings version that a change is based on, if given.
  std::optional<uint64_t> base_version;
  /// Id of the change; random unless given.
  std::string change_id;
  /// Recorded in the settings history.
  std::string operator_name;

  /// Query parameters of `history`, `refused-minutes` and `timeline`.
  std::vector<std::pair<std::string, std::string>> query;
  /// Format of `refused-minutes`: `text`, `json` or `csv`.
  std::string format;
  /// Id of the engine of `engines set` and `engines remove`.
  std::string server;
  /// Artifacts of `engines set`, as `MODEL[+ADAPTER]@VERSION`.
  std::vector<std::string> artifacts;
  /// Role of `engines set`: `mixed`, `prefill` or `decode`.
  std::string role;
  /// Load priority of `engines set`; larger values are loaded first.
  int64_t load_priority = 0;
  /// Id of the entry of `quarantine release`.
  std::string entry;
  /// Service of `duties hold` and `duties resume`.
  std::string service;
  /// VM to drain; empty for the VM that receives the request.
  std::string vm;

  /// Request id of `explain`.
  std::string request;
  /// Log files of `explain`; standard input is read when empty.
  std::vector<std::string> files;
  /// `explain` also prints state changes within this time before and after the
  /// request.
  absl::Duration around;
};

}  // namespace camphorsail::ctl

#endif  // CTL_COMMAND_H_
