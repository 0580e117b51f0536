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
void VisitBoth(const Map& from, const Map& to, Visit visit) {
  auto a = from.begin();
  auto b = to.begin();
  while (a != from.end() || b != to.end()) {
    if (b == to.end() || (a != from.end() && a->first < b->first)) {
      visit(a->first, &a->second, nullptr);
      ++a;
    } else if (a == from.end() || b->first < a->first) {
      visit(b->first, nullptr, &b->second);
      ++b;
    } else {
      visit(a->first, &a->second, &b->second);
      ++a;
      ++b;
    }
  }
}

}  // namespace

std::vector<SettingsEdit> DiffSettings(const SettingsTree& from,
                                       const SettingsTree& to) {
  std::vector<SettingsEdit> edits;
  DiffValues("fleet", from.fleet(), to.fleet(), &edits);
  VisitBoth(
      from.accounts(), to.accounts(),
      [&](const ClientAccountId& account, const SettingsTree::AccountNode* a,
          const SettingsTree::AccountNode* b) {
        const std::string path = "fleet/" + account.value();
        if (b == nullptr) {
          edits.push_back({path, "", true, ""});
          return;
        }
        if (a == nullptr) {
          edits.push_back({path, "", false, ""});
        }
        static const SettingsTree::AccountNode none;
        const SettingsTree::AccountNode& before = a == nullptr ? none : *a;
        DiffValues(path, before.values, b->values, &edits);
        VisitBoth(
            before.classes, b->classes,
            [&](const ClassId& class_id, const Values* c, const Values* d) {
              const std::string class_path = path + "/" + class_id.value();
              if (d == nullptr) {
                edits.push_back({class_path, "", true, ""});
                return;
              }
              if (c == nullptr) {
                edits.push_back({class_path, "", false, ""});
              }
              DiffValues(class_path, c == nullptr ? Values() : *c, *d, &edits);
            });
      });
  return edits;
}

}  // namespace camphorsail
