#ifndef CTL_SETTINGS_EDITS_H_
#define CTL_SETTINGS_EDITS_H_

#include <string>

#include "camphorsail/base/error.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail::ctl {

/// Converts a value of `settings set` to JSON. Valid JSON text is parsed, other
/// text becomes a string. For keys with text values a number also becomes a
/// string, because a name or a hexadecimal digest may consist of digits only.
nlohmann::json ParseSettingValue(const std::string& key,
                                 const std::string& text);

/// Compares two trees in the form that `settings export` prints: an object that
/// maps each path to an object that maps keys to values.
///
/// @return The JSON array `edits` of the change that turns `from` into `to`:
/// first the removals, then the set values, each ordered by path and key.
/// Error: `kSettingsInvalid` when one of them is not such a tree.
Expected<nlohmann::json> DiffSettingsTrees(const nlohmann::json& from,
                                           const nlohmann::json& to);

}  // namespace camphorsail::ctl

#endif  // CTL_SETTINGS_EDITS_H_
