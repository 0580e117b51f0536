#ifndef CAMPHORSAIL_CONTROL_COMMAND_RESULT_H_
#define CAMPHORSAIL_CONTROL_COMMAND_RESULT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/ledger/ledger_types.h"

namespace camphorsail {

/// The answer to one applied command, equal on every replica.
struct CommandResult {
  /// Log index at which the command was applied.
  LogIndex index;
  /// Set when the command was rejected as a whole.
  std::optional<Error> error;
  /// For a settings change, the version that the change made, or the current
  /// version after an error. For a routing table, the version of the table in
  /// force, which is numbered separately. For other commands, the current
  /// settings version.
  SettingsVersion settings_version;
  /// One result for each open of a `LedgerBatch`, in the order of the batch.
  std::vector<LedgerOpenResult> opens;
  /// One result for each close of a `LedgerBatch`, in the order of the batch.
  std::vector<LedgerCloseResult> closes;
};

/// @return The MessagePack encoding of `result`.
std::string EncodeCommandResult(const CommandResult& result);

/// @param bytes An encoding by `EncodeCommandResult`.
/// @return The result; `kProtocolError` when `bytes` is not one.
Expected<CommandResult> DecodeCommandResult(std::string_view bytes);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_COMMAND_RESULT_H_
