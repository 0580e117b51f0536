#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_CHANGE_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_CHANGE_H_

#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Sets or removes one value, or removes a whole node.
struct SettingsEdit {
  /// `fleet`, `fleet/<account>` or `fleet/<account>/<class>`.
  std::string path;
  /// The name of a settings key. An empty key means the node itself: with
  /// `remove` the node and everything below it are removed, without `remove`
  /// the node is created.
  std::string key;
  /// True to remove, false to set.
  bool remove = false;
  /// The value as JSON text, for example `2`, `true` or `"menu-plan"`.
  std::string value_json;

  friend bool operator==(const SettingsEdit&, const SettingsEdit&) = default;
  MSGPACK_DEFINE(path, key, remove, value_json)
};

/// One operator's edits, accepted or rejected as a whole.
struct SettingsChange {
  /// A resent change carries the same id and gets the original answer.
  ChangeId change_id;
  /// The settings version that the operator's edits are based on.
  SettingsVersion base_version;
  std::string operator_name;
  /// Applied in order.
  std::vector<SettingsEdit> edits;

  friend bool operator==(const SettingsChange&,
                         const SettingsChange&) = default;
  MSGPACK_DEFINE(change_id, base_version, operator_name, edits)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_CHANGE_H_
