#include "ctl/settings_edits.h"

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

/// @return Why `tree` is not a settings tree; an empty text when it is one.
std::string FindTreeError(const nlohmann::json& tree) {
  if (!tree.is_object()) {
    return "the tree is not an object";
  }
  for (const auto& [path, node] : tree.items()) {
    if (!node.is_object()) {
      return absl::StrCat("the value of ", path, " is not an object");
    }
  }
  return {};
}

}  // namespace

nlohmann::json ParseSettingValue(const std::string& key,
                                 const std::string& text) {
  const nlohmann::json parsed =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  const bool has_text_value =
      key == "default_class" || key == "model" || key == "api_key_sha256";
  if (parsed.is_discarded() || (has_text_value && parsed.is_number())) {
    return text;
  }
  return parsed;
}

Expected<nlohmann::json> DiffSettingsTrees(const nlohmann::json& from,
                                           const nlohmann::json& to) {
  for (const nlohmann::json* tree : {&from, &to}) {
    if (const std::string error = FindTreeError(*tree); !error.empty()) {
      return Fail(ErrorKind::kSettingsInvalid, error);
    }
  }
  nlohmann::json edits = nlohmann::json::array();
  for (const auto& [path, node] : from.items()) {
    for (const auto& [key, value] : node.items()) {
      if (!to.contains(path) || !to.at(path).contains(key)) {
        edits.push_back({{"path", path}, {"key", key}, {"remove", true}});
      }
    }
  }
  for (const auto& [path, node] : to.items()) {
    for (const auto& [key, value] : node.items()) {
      if (!from.contains(path) || !from.at(path).contains(key) ||
          from.at(path).at(key) != value) {
        edits.push_back({{"path", path}, {"key", key}, {"value", value}});
      }
    }
  }
  return edits;
}

}  // namespace camphorsail::ctl
