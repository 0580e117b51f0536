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
  kStatus,
  kRefusedMinutes,
  kTimeline,
  kDrain,
  kExplain,
  kLogEvents,
};

/// @return True for a command that reads files only and calls no VM.
inline bool IsLocal(CommandKind kind) {
  return kind == CommandKind::kExplain || kind == CommandKind::kLogEvents;
}

/// What the operator asks for. Fields that the kind does not use are empty.
struct Command {
  CommandKind kind = CommandKind::kStatus;
  std::string admin_url;
  /// Contents of the secret file.
  std::string secret;
  /// Print the answer's JSON in place of a table.
  bool json = false;

  /// Settings path, such as `fleet/acme/chat`.
  std::string path;
  bool explain = false;
  /// Keys and values of `set`, as written.
  std::vector<std::pair<std::string, std::string>> values;
  /// Keys of `unset`.
  std::vector<std::string> keys;
  /// Text of the file of `apply` and `diff`.
  std::string file_text;
  std::optional<uint64_t> base_version;
  /// Random unless the operator gives one.
  std::string change_id;
  std::string operator_name;

  /// Query parameters of `history`, `refused-minutes` and `timeline`.
  std::vector<std::pair<std::string, std::string>> query;
  /// `text`, `json` or `csv`.
  std::string format;
  /// Engine of `engines set` and `engines remove`.
  std::string server;
  /// Artifacts of `engines set`, as `MODEL[+ADAPTER]@VERSION`.
  std::vector<std::string> artifacts;
  std::string role;
  int64_t need = 0;
  /// VM to drain; empty for the VM that is asked.
  std::string vm;

  /// Request, log files and span of `explain`.
  std::string request;
  std::vector<std::string> files;
  absl::Duration around;
};

}  // namespace camphorsail::ctl

#endif  // CTL_COMMAND_H_
