#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_TREE_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_TREE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/settings/effective_class.h"
#include "camphorsail/settings/settings_change.h"
#include "camphorsail/settings/settings_key.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// Limits on one tree; about twice the target size of docs/CAPACITY.md.
constexpr size_t kMaxSettingsAccounts = 2200;
constexpr size_t kMaxSettingsClassesPerAccount = 32;
/// Limit on the number of nodes and set values together; a tree of the target
/// size has about 35,000.
constexpr size_t kMaxSettingsElements = 100000;
/// Limits on one change; large enough to set a whole tree of the target size.
constexpr size_t kMaxSettingsEdits = 50000;
constexpr size_t kMaxSettingsChangeBytes = 4 * 1024 * 1024;

/// Where a value comes from.
struct SettingsExplanation {
  /// The value as JSON text.
  std::string value_json;
  /// The path that sets it, or `default` when none does.
  std::string source_path;
};

/// The values set at the fleet, account and class levels. A class inherits a
/// value that it does not set from its account, and an account from the fleet.
/// A tree that is built with `Apply` and `FromJson` is always valid.
/// Owned by a `SettingsStore` or used as a value; not thread-safe.
class SettingsTree {
 public:
  using Values = std::map<SettingsKey, SettingsValue>;
  /// The values set for one account and for its classes.
  struct AccountNode {
    Values values;
    std::map<ClassId, Values> classes;

    friend bool operator==(const AccountNode&, const AccountNode&) = default;
  };

  /// Applies all edits, or none.
  /// @param edits Applied in order. Setting a value creates its node and the
  /// nodes above it.
  /// @return `kSettingsInvalid` or `kSettingsTooLarge` naming the first
  /// violation; the tree is then unchanged.
  Expected<void> Apply(const std::vector<SettingsEdit>& edits);

  /// @param path `fleet`, `fleet/<account>` or `fleet/<account>/<class>`.
  /// @param key The name of a settings key.
  /// @return The value in force at the path and its source; `kNotFound` when
  /// the path does not exist, `kSettingsInvalid` when the path is malformed or
  /// the key is unknown.
  Expected<SettingsExplanation> Explain(std::string_view path,
                                        std::string_view key) const;

  /// @return The settings in force for all accounts, ordered by account id.
  std::vector<EffectiveAccount> EffectiveAccounts() const;

  /// @param path As for `Explain`.
  /// @return The values set at this path itself, without inherited ones; errors
  /// as for `Explain`.
  Expected<Values> ValuesAt(std::string_view path) const;

  /// @return The whole tree: `{"values": {..}, "accounts": {"a": {"values":
  /// {..}, "classes": {"c": {..}}}}}`, with sorted keys.
  nlohmann::json ToJson() const;

  /// @param json A tree as written by `ToJson`.
  /// @return The tree; `kSettingsInvalid` or `kSettingsTooLarge` naming the
  /// path of the first violation.
  static Expected<SettingsTree> FromJson(const nlohmann::json& json);

  const Values& fleet() const { return fleet_; }
  const std::map<ClientAccountId, AccountNode>& accounts() const {
    return accounts_;
  }

  friend bool operator==(const SettingsTree&, const SettingsTree&) = default;

 private:
  struct Path;
  struct Undo;

  static Expected<Path> ParsePath(std::string_view text);
  /// Applies all edits, or none, without the limits on the size of a change.
  Expected<void> ApplyAll(const std::vector<SettingsEdit>& edits);
  /// Applies one edit and saves the previous state of its nodes in `undo`.
  Expected<void> ApplyEdit(const SettingsEdit& edit, Undo* undo);
  /// Removes a value, or the node with everything below it when `info` is null.
  void ApplyRemove(const Path& path, const SettingsKeyInfo* info);
  /// Validates the tree, as far as the nodes in `modified` affect it.
  Expected<void> Validate(const Undo& modified) const;
  Expected<void> ValidateAccount(const ClientAccountId& account,
                                 const AccountNode& node) const;
  Expected<void> ValidateSize() const;
  /// Checks that no two accounts have the same API key digest.
  Expected<void> ValidateApiKeys() const;
  /// Checks the sum of the guaranteed shares set at the class level.
  Expected<void> ValidateGuaranteedShares() const;
  /// Rolls a rejected change back.
  void RollBack(Undo undo);

  EffectiveClass BuildEffectiveClass(const ClientAccountId& account,
                                     const AccountNode& node,
                                     const ClassId& class_id,
                                     const Values& values) const;
  /// @return The value of `key` from the first of class, account and fleet that
  /// sets it; null when none does.
  const SettingsValue* Lookup(SettingsKey key,
                              const Values* class_values,
                              const Values* account_values) const;

  Values fleet_;
  std::map<ClientAccountId, AccountNode> accounts_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_TREE_H_
