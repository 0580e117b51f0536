#include "camphorsail/settings/settings_diff.h"

#include <string>

#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

using Values = SettingsTree::Values;

/// Appends the edits that turn the values `from` of one node into `to`.
void DiffValues(const std::string& path,
                const Values& from,
                const Values& to,
                std::vector<SettingsEdit>* edits) {
  for (const SettingsKeyInfo& info : GetSettingsKeys()) {
    const auto before = from.find(info.key);
    const auto after = to.find(info.key);
    if (after == to.end()) {
      if (before != from.end()) {
        edits->push_back({path, std::string(info.name), true, ""});
      }
    } else if (before == from.end() || before->second != after->second) {
      edits->push_back({path, std::string(info.name), false,
                        SettingsValueToJson(after->second).dump()});
    }
  }
}

/// Calls `visit` for each key that is in at least one of the maps, in key
/// order, with the key and pointers to its values in `from` and `to`. The
/// pointer is null for a map that does not have the key.
template <typename Map, typename Visit>
void VisitUnion(const Map& from, const Map& to, Visit visit) {
  auto from_node = from.begin();
  auto to_node = to.begin();
  while (from_node != from.end() || to_node != to.end()) {
    if (to_node == to.end() ||
        (from_node != from.end() && from_node->first < to_node->first)) {
      visit(from_node->first, &from_node->second, nullptr);
      ++from_node;
    } else if (from_node == from.end() || to_node->first < from_node->first) {
      visit(to_node->first, nullptr, &to_node->second);
      ++to_node;
    } else {
      visit(from_node->first, &from_node->second, &to_node->second);
      ++from_node;
      ++to_node;
    }
  }
}

}  // namespace

std::vector<SettingsEdit> DiffSettings(const SettingsTree& from,
                                       const SettingsTree& to) {
  std::vector<SettingsEdit> edits;
  DiffValues("fleet", from.fleet(), to.fleet(), &edits);
  VisitUnion(
      from.accounts(), to.accounts(),
      [&](const ClientAccountId& account,
          const SettingsTree::AccountNode* from_node,
          const SettingsTree::AccountNode* to_node) {
        const std::string path = "fleet/" + account.value();
        if (to_node == nullptr) {
          edits.push_back({path, "", true, ""});
          return;
        }
        if (from_node == nullptr) {
          edits.push_back({path, "", false, ""});
        }
        static const SettingsTree::AccountNode empty_node;
        const SettingsTree::AccountNode& before =
            from_node == nullptr ? empty_node : *from_node;
        DiffValues(path, before.values, to_node->values, &edits);
        VisitUnion(
            before.classes, to_node->classes,
            [&](const ClassId& class_id, const Values* from_values,
                const Values* to_values) {
              const std::string class_path = path + "/" + class_id.value();
              if (to_values == nullptr) {
                edits.push_back({class_path, "", true, ""});
                return;
              }
              if (from_values == nullptr) {
                edits.push_back({class_path, "", false, ""});
              }
              DiffValues(class_path,
                         from_values == nullptr ? Values() : *from_values,
                         *to_values, &edits);
            });
      });
  return edits;
}

}  // namespace camphorsail
