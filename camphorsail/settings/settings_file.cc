#include "camphorsail/settings/settings_file.h"

#include <set>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/settings/settings_diff.h"
#include "nlohmann/json.hpp"

namespace camphorsail {

Expected<SettingsTree> ParseSettingsFile(std::string_view text) {
  using Event = nlohmann::json::parse_event_t;
  // When an object repeats a member, the JSON parser keeps only the last one.
  // Without this check, one of two sections for the same account would be
  // ignored without an error.
  std::vector<std::set<std::string>> member_names;
  std::string repeated_member;
  const auto callback = [&](int /*depth*/, Event event,
                            nlohmann::json& parsed) {
    if (event == Event::object_start) {
      member_names.emplace_back();
    } else if (event == Event::object_end) {
      member_names.pop_back();
    } else if (event == Event::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!member_names.back().insert(name).second && repeated_member.empty()) {
        repeated_member = name;
      }
    }
    return true;
  };
  nlohmann::json json;
  try {
    json = nlohmann::json::parse(text, callback);
  } catch (const nlohmann::json::parse_error& e) {
    return Fail(ErrorKind::kSettingsInvalid,
                absl::StrCat("not valid JSON near byte ", e.byte));
  }
  if (!repeated_member.empty()) {
    return Fail(ErrorKind::kSettingsInvalid,
                absl::StrCat("member \"", absl::CHexEscape(repeated_member),
                             "\" occurs twice in one object"));
  }
  return SettingsTree::FromJson(json);
}

std::string RenderSettingsFile(const SettingsTree& tree) {
  return tree.ToJson().dump(2) + "\n";
}

Expected<SettingsChange> MakeChangeFromFile(const SettingsTree& current,
                                            SettingsVersion version,
                                            std::string_view text,
                                            ChangeId change_id,
                                            std::string operator_name) {
  const auto wanted = ParseSettingsFile(text);
  if (!wanted) {
    return tl::unexpected<Error>(wanted.error());
  }
  return SettingsChange{std::move(change_id), version, std::move(operator_name),
                        DiffSettings(current, *wanted)};
}

}  // namespace camphorsail
