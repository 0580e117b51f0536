#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_FILE_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_FILE_H_

#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/settings/settings_change.h"
#include "camphorsail/settings/settings_tree.h"

namespace camphorsail {

/// @param text A complete settings tree as JSON text.
/// @return The tree; `kSettingsInvalid` naming the position, member or path
/// when the text is not JSON, repeats a member or contains an invalid setting;
/// `kSettingsTooLarge` when the tree exceeds a limit.
Expected<SettingsTree> ParseSettingsFile(std::string_view text);

/// @return The tree as indented JSON text that `ParseSettingsFile` reads.
std::string RenderSettingsFile(const SettingsTree& tree);

/// Makes one change that turns the current tree into the tree of a file.
/// @param current The current tree.
/// @param version The version of `current`.
/// @param text The file's content.
/// @return The change, without edits when the trees are equal; the errors are
/// those of `ParseSettingsFile`.
Expected<SettingsChange> MakeChangeFromFile(const SettingsTree& current,
                                            SettingsVersion version,
                                            std::string_view text,
                                            ChangeId change_id,
                                            std::string operator_name);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_FILE_H_
