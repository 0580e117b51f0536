#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_DIFF_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_DIFF_H_

#include <vector>

#include "camphorsail/settings/settings_change.h"
#include "camphorsail/settings/settings_tree.h"

namespace camphorsail {

/// @param from The current tree.
/// @param to The desired tree, for example read from a file.
/// @return The edits that turn `from` into `to`, in order of path and key;
/// empty when the trees are equal.
std::vector<SettingsEdit> DiffSettings(const SettingsTree& from,
                                       const SettingsTree& to);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_DIFF_H_
