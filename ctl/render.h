#ifndef CTL_RENDER_H_
#define CTL_RENDER_H_

#include <string>

#include "ctl/command.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail::ctl {

/// @param answer The admin API's answer to a command of this kind, in the form
/// of `docs/admin-api.md`. The cell of a missing field is empty.
/// @return The answer as human-readable text, mostly as tables.
std::string RenderAnswer(CommandKind kind, const nlohmann::json& answer);

/// @param edits The JSON array `edits` of a change.
/// @return One line per edit, with `-` for a removal and `+` for a set value.
std::string RenderEdits(const nlohmann::json& edits);

}  // namespace camphorsail::ctl

#endif  // CTL_RENDER_H_
