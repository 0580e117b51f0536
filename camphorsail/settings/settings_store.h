#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_STORE_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_error_kind.h"
#include "camphorsail/settings/settings_change.h"
#include "camphorsail/settings/settings_tree.h"

namespace camphorsail {

/// Number of answers kept for resent changes; enough for three days at 1,300
/// changes a day.
constexpr size_t kMaxSettingsAnswers = 4096;
/// Limits on the history; the newest entry is always kept.
constexpr size_t kMaxSettingsHistoryEntries = 4096;
constexpr size_t kMaxSettingsHistoryBytes = 8 * 1024 * 1024;
/// Longest change id and operator name, in bytes.
constexpr size_t kMaxSettingsIdBytes = 128;

/// An accepted change.
struct SettingsHistoryEntry {
  SettingsVersion version;
  ChangeId change_id;
  std::string operator_name;
  /// Wall clock of the proposing VM, microseconds since the Unix epoch.
  int64_t wall_micros = 0;
  std::vector<SettingsEdit> edits;

  friend bool operator==(const SettingsHistoryEntry&,
                         const SettingsHistoryEntry&) = default;
  MSGPACK_DEFINE(version, change_id, operator_name, wall_micros, edits)
};

/// The answer to one change. It is kept so that a resent change gets the same
/// answer.
struct SettingsAnswer {
  ChangeId change_id;
  /// Hash of the change's content, to detect that an id is used again for a
  /// different change.
  uint64_t content_hash = 0;
  /// The version that the change created, or the current version when the
  /// change was rejected.
  SettingsVersion version;
  bool accepted = false;
  /// Valid only for a rejected change.
  ErrorKind error_kind = ErrorKind::kInternal;
  /// Empty for an accepted change.
  std::string error_message;

  friend bool operator==(const SettingsAnswer&,
                         const SettingsAnswer&) = default;
  MSGPACK_DEFINE(change_id,
                 content_hash,
                 version,
                 accepted,
                 error_kind,
                 error_message)
};

/// The settings tree with its version, history and the answers to past changes.
/// Owned by `ControlState`; not thread-safe.
class SettingsStore {
 public:
  /// Applies a change if it is based on the current version.
  /// @param change The change; a resent one gets the original answer.
  /// @param wall_micros Wall clock of the proposing VM, for the history.
  /// @return The answer. Errors: `kSettingsConflict` when the base version is
  /// not the current one, naming the change that was accepted after it;
  /// `kSettingsInvalid`, `kSettingsTooLarge`.
  SettingsAnswer Apply(const SettingsChange& change, int64_t wall_micros);

  /// @param changes Changes in log order that are not applied yet.
  /// @return The tree and version that result when they are applied; the store
  /// is unchanged.
  std::pair<SettingsTree, SettingsVersion> Preview(
      const std::vector<SettingsChange>& changes) const;

  const SettingsTree& tree() const { return tree_; }
  SettingsVersion version() const { return version_; }
  /// Accepted changes, oldest first.
  const std::deque<SettingsHistoryEntry>& history() const { return history_; }

  /// @return The encoded contents of the store.
  std::string Snapshot() const;
  /// @param bytes The result of `Snapshot`.
  /// @return The store; `kDataCorrupt` when `bytes` is not valid.
  static Expected<SettingsStore> Restore(std::string_view bytes);

  friend bool operator==(const SettingsStore&, const SettingsStore&) = default;

 private:
  /// Checks the ids and the base version of a change.
  Expected<void> CheckChange(const SettingsChange& change) const;
  /// @return The message for a change based on the old version `base`; names
  /// the change that was accepted after that version.
  std::string DescribeConflict(SettingsVersion base) const;
  /// Keeps an answer for resent changes; drops the oldest beyond the limit.
  void StoreAnswer(SettingsAnswer answer);
  /// Adds an entry to the history; drops the oldest beyond the limits.
  void AddHistory(SettingsHistoryEntry entry);

  SettingsTree tree_;
  SettingsVersion version_;
  std::deque<SettingsHistoryEntry> history_;
  /// Size of the edits in `history_`, in bytes.
  size_t history_bytes_ = 0;
  /// Ids of the kept answers, oldest first.
  std::deque<ChangeId> answer_order_;
  /// The kept answers by change id.
  std::map<ChangeId, SettingsAnswer> answers_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_STORE_H_
