#include "camphorsail/settings/settings_tree.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "nlohmann/json.hpp"

namespace camphorsail {

/// A parsed path. Without `class_id` it means the account level, without
/// `account` the fleet level.
struct SettingsTree::Path {
  std::optional<ClientAccountId> account;
  std::optional<ClassId> class_id;
};

/// The previous state of the nodes that a change modifies, from which a
/// rejected change is rolled back.
struct SettingsTree::Undo {
  /// Empty when the change does not modify the fleet level.
  std::optional<Values> fleet;
  /// The modified accounts; empty for an account that did not exist before.
  std::map<ClientAccountId, std::optional<AccountNode>> accounts;
  /// True when the change sets API key digests.
  bool sets_api_keys = false;
  /// True when the change sets a guaranteed share.
  bool sets_shares = false;
};

namespace {

/// @return `text` in quotes, shortened and escaped for an error message.
std::string Quote(std::string_view text) {
  return absl::StrCat("\"", absl::CHexEscape(std::string(text.substr(0, 80))),
                      "\"");
}

tl::unexpected<Error> InvalidSettings(std::string message) {
  return Fail(ErrorKind::kSettingsInvalid, std::move(message));
}

/// @return `error` with `path` added to its message.
tl::unexpected<Error> ErrorAt(std::string_view path, const Error& error) {
  return Fail(error.kind,
              absl::StrCat("at ", Quote(path), ": ", error.message));
}

std::string ClassPath(const ClientAccountId& account, const ClassId& class_id) {
  return absl::StrCat("fleet/", account.value(), "/", class_id.value());
}

/// @return True when the key may be set at the fleet level (`account` is
/// false), at the account level (`account` is true) or at the class level
/// (`class_level` is true).
bool IsAllowedAt(const SettingsKeyInfo& info, bool account, bool class_level) {
  if (class_level) {
    return info.at_class;
  }
  return account ? info.at_account : info.at_fleet;
}

/// @return The value of `key`; null when `values` is null or has no such key.
const SettingsValue* FindValue(const SettingsTree::Values* values,
                               SettingsKey key) {
  if (values == nullptr) {
    return nullptr;
  }
  const auto it = values->find(key);
  return it == values->end() ? nullptr : &it->second;
}

/// Checks that `json` is an object whose members are all objects with names in
/// `allowed`.
Expected<void> CheckMembers(const std::string& path,
                            const nlohmann::json& json,
                            std::initializer_list<std::string_view> allowed) {
  if (!json.is_object()) {
    return InvalidSettings(
        absl::StrCat("at ", Quote(path), ": not a JSON object"));
  }
  for (const auto& [name, member] : json.items()) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return InvalidSettings(
          absl::StrCat("at ", Quote(path), ": unknown member ", Quote(name)));
    }
    if (!member.is_object()) {
      return InvalidSettings(absl::StrCat("at ", Quote(path), ": member ",
                                          Quote(name),
                                          " is not a JSON object"));
    }
  }
  return {};
}

/// Appends one edit for each member of `values`. Rejects an empty key, since an
/// edit with an empty key means the node itself.
Expected<void> AddEdits(const std::string& path,
                        const nlohmann::json& values,
                        std::vector<SettingsEdit>* edits) {
  for (const auto& [name, value] : values.items()) {
    if (name.empty()) {
      return InvalidSettings(absl::StrCat("at ", Quote(path), ": empty key"));
    }
    edits->push_back(
        {path, name, false,
         value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
  }
  return {};
}

nlohmann::json ValuesToJson(const SettingsTree::Values& values) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [key, value] : values) {
    json[std::string(GetSettingsKeyInfo(key).name)] =
        SettingsValueToJson(value);
  }
  return json;
}

}  // namespace

Expected<SettingsTree::Path> SettingsTree::ParsePath(std::string_view text) {
  const std::string owned(text);
  const std::vector<std::string> parts = absl::StrSplit(owned, '/');
  if (parts.empty() || parts.size() > 3 || parts[0] != "fleet") {
    return InvalidSettings(absl::StrCat("path ", Quote(text),
                                        " is not fleet, fleet/<account> or "
                                        "fleet/<account>/<class>"));
  }
  for (size_t i = 1; i < parts.size(); ++i) {
    if (!IsValidSettingsName(parts[i])) {
      return InvalidSettings(
          absl::StrCat("path ", Quote(text),
                       " has a name that is not 1 to 64 letters, "
                       "digits or the characters . _ - :"));
    }
  }
  Path path;
  if (parts.size() > 1) {
    path.account = ClientAccountId(parts[1]);
  }
  if (parts.size() > 2) {
    path.class_id = ClassId(parts[2]);
  }
  return path;
}

Expected<void> SettingsTree::Apply(const std::vector<SettingsEdit>& edits) {
  if (edits.empty()) {
    return InvalidSettings("the change has no edits");
  }
  if (edits.size() > kMaxSettingsEdits) {
    return Fail(ErrorKind::kSettingsTooLarge,
                absl::StrCat("the change has ", edits.size(),
                             " edits; the limit is ", kMaxSettingsEdits));
  }
  size_t bytes = 0;
  for (const SettingsEdit& edit : edits) {
    bytes += edit.path.size() + edit.key.size() + edit.value_json.size();
  }
  if (bytes > kMaxSettingsChangeBytes) {
    return Fail(ErrorKind::kSettingsTooLarge,
                absl::StrCat("the change has ", bytes, " bytes; the limit is ",
                             kMaxSettingsChangeBytes));
  }
  return ApplyAll(edits);
}

Expected<void> SettingsTree::ApplyAll(const std::vector<SettingsEdit>& edits) {
  Undo undo;
  Expected<void> result;
  for (const SettingsEdit& edit : edits) {
    result = ApplyEdit(edit, &undo);
    if (!result) {
      break;
    }
  }
  if (result) {
    result = Validate(undo);
  }
  if (!result) {
    RollBack(std::move(undo));
  }
  return result;
}

Expected<void> SettingsTree::ApplyEdit(const SettingsEdit& edit, Undo* undo) {
  const auto path = ParsePath(edit.path);
  if (!path) {
    return tl::unexpected<Error>(path.error());
  }
  const SettingsKeyInfo* info =
      edit.key.empty() ? nullptr : FindSettingsKey(edit.key);
  if (!edit.key.empty() && info == nullptr) {
    return ErrorAt(edit.path, {ErrorKind::kSettingsInvalid,
                               absl::StrCat("unknown key ", Quote(edit.key))});
  }
  if (!path->account) {
    if (!undo->fleet) {
      undo->fleet = fleet_;
    }
  } else if (!undo->accounts.contains(*path->account)) {
    const auto it = accounts_.find(*path->account);
    undo->accounts[*path->account] =
        it == accounts_.end() ? std::nullopt : std::optional(it->second);
  }
  if (edit.remove) {
    ApplyRemove(*path, info);
    return {};
  }
  if (path->account && !accounts_.contains(*path->account) &&
      accounts_.size() >= kMaxSettingsAccounts) {
    return Fail(ErrorKind::kSettingsTooLarge,
                absl::StrCat("the limit of ", kMaxSettingsAccounts,
                             " accounts is reached"));
  }
  Values* values = &fleet_;
  if (path->account) {
    AccountNode& account = accounts_[*path->account];
    values =
        path->class_id ? &account.classes[*path->class_id] : &account.values;
  }
  if (info == nullptr) {
    return {};
  }
  if (!IsAllowedAt(*info, path->account.has_value(),
                   path->class_id.has_value())) {
    return ErrorAt(edit.path,
                   {ErrorKind::kSettingsInvalid,
                    absl::StrCat(edit.key, " cannot be set at this level")});
  }
  const auto json = nlohmann::json::parse(edit.value_json, nullptr, false);
  if (json.is_discarded()) {
    return ErrorAt(edit.path, {ErrorKind::kSettingsInvalid,
                               absl::StrCat("the value of ", edit.key,
                                            " is not valid JSON")});
  }
  auto value = ParseSettingsValue(*info, json);
  if (!value) {
    return ErrorAt(edit.path, value.error());
  }
  undo->sets_api_keys |= info->key == SettingsKey::kApiKeySha256;
  undo->sets_shares |= info->key == SettingsKey::kGuaranteedShare;
  (*values)[info->key] = std::move(*value);
  return {};
}

void SettingsTree::ApplyRemove(const Path& path, const SettingsKeyInfo* info) {
  if (!path.account) {
    if (info != nullptr) {
      fleet_.erase(info->key);
    } else {
      fleet_.clear();
    }
    return;
  }
  const auto account = accounts_.find(*path.account);
  if (account == accounts_.end()) {
    return;
  }
  if (!path.class_id) {
    if (info != nullptr) {
      account->second.values.erase(info->key);
    } else {
      accounts_.erase(account);
    }
    return;
  }
  if (info == nullptr) {
    account->second.classes.erase(*path.class_id);
    return;
  }
  const auto node = account->second.classes.find(*path.class_id);
  if (node != account->second.classes.end()) {
    node->second.erase(info->key);
  }
}

Expected<void> SettingsTree::Validate(const Undo& modified) const {
  if (auto result = ValidateSize(); !result) {
    return result;
  }
  for (const auto& [account, node] : accounts_) {
    if (modified.fleet || modified.accounts.contains(account)) {
      if (auto result = ValidateAccount(account, node); !result) {
        return result;
      }
    }
  }
  if (modified.sets_api_keys) {
    if (auto result = ValidateApiKeys(); !result) {
      return result;
    }
  }
  return modified.sets_shares ? ValidateGuaranteedShares() : Expected<void>();
}

Expected<void> SettingsTree::ValidateAccount(const ClientAccountId& account,
                                             const AccountNode& node) const {
  if (node.classes.size() > kMaxSettingsClassesPerAccount) {
    return Fail(
        ErrorKind::kSettingsTooLarge,
        absl::StrCat("fleet/", account.value(), " has ", node.classes.size(),
                     " classes; the limit is ", kMaxSettingsClassesPerAccount));
  }
  const SettingsValue* default_class =
      FindValue(&node.values, SettingsKey::kDefaultClass);
  if (default_class != nullptr &&
      !node.classes.contains(ClassId(std::get<std::string>(*default_class)))) {
    return InvalidSettings(
        absl::StrCat("at \"fleet/", account.value(),
                     "\": default_class names no class of the "
                     "account"));
  }
  for (const auto& [class_id, values] : node.classes) {
    const EffectiveClass effective =
        BuildEffectiveClass(account, node, class_id, values);
    if (effective.ttft_target > effective.total_target) {
      return InvalidSettings(absl::StrCat("at \"", ClassPath(account, class_id),
                                          "\": ttft_target_ms exceeds "
                                          "total_target_ms"));
    }
  }
  return {};
}

Expected<void> SettingsTree::ValidateSize() const {
  size_t elements = fleet_.size();
  for (const auto& [account, node] : accounts_) {
    elements += 1 + node.values.size() + node.classes.size();
    for (const auto& [class_id, values] : node.classes) {
      elements += values.size();
    }
  }
  if (elements > kMaxSettingsElements) {
    return Fail(
        ErrorKind::kSettingsTooLarge,
        absl::StrCat("the tree would have ", elements,
                     " nodes and values; the limit is ", kMaxSettingsElements));
  }
  return {};
}

Expected<void> SettingsTree::ValidateApiKeys() const {
  std::map<std::string_view, const ClientAccountId*> owners;
  for (const auto& [account, node] : accounts_) {
    const SettingsValue* keys =
        FindValue(&node.values, SettingsKey::kApiKeySha256);
    if (keys == nullptr) {
      continue;
    }
    for (const std::string& digest :
         std::get<std::vector<std::string>>(*keys)) {
      const auto [it, inserted] = owners.emplace(digest, &account);
      if (!inserted) {
        return InvalidSettings(absl::StrCat("accounts ", it->second->value(),
                                            " and ", account.value(),
                                            " have the same API key digest"));
      }
    }
  }
  return {};
}

Expected<void> SettingsTree::ValidateGuaranteedShares() const {
  // Shares set at the class level are guarantees, so together they must not
  // exceed the whole capacity. Inherited shares are not counted: they are small
  // defaults that the scheduler scales down when there are many classes.
  double sum = 0;
  for (const auto& [account, node] : accounts_) {
    for (const auto& [class_id, values] : node.classes) {
      const SettingsValue* share =
          FindValue(&values, SettingsKey::kGuaranteedShare);
      sum += share == nullptr ? 0 : std::get<double>(*share);
    }
  }
  // The tolerance covers the rounding of decimal fractions.
  if (sum > 1 + 1e-9) {
    return InvalidSettings(
        absl::StrCat("the guaranteed_share values set for classes add up to ",
                     sum, "; the limit is 1"));
  }
  return {};
}

void SettingsTree::RollBack(Undo undo) {
  if (undo.fleet) {
    fleet_ = std::move(*undo.fleet);
  }
  for (auto& [account, node] : undo.accounts) {
    if (node) {
      accounts_[account] = std::move(*node);
    } else {
      accounts_.erase(account);
    }
  }
}

const SettingsValue* SettingsTree::Lookup(SettingsKey key,
                                          const Values* class_values,
                                          const Values* account_values) const {
  for (const Values* values : {class_values, account_values, &fleet_}) {
    if (const SettingsValue* value = FindValue(values, key)) {
      return value;
    }
  }
  return nullptr;
}

EffectiveClass SettingsTree::BuildEffectiveClass(const ClientAccountId& account,
                                                 const AccountNode& node,
                                                 const ClassId& class_id,
                                                 const Values& values) const {
  const auto read = [&](SettingsKey key, auto fallback) {
    const SettingsValue* value = Lookup(key, &values, &node.values);
    return value == nullptr ? fallback : std::get<decltype(fallback)>(*value);
  };
  EffectiveClass out;
  out.account = account;
  out.class_id = class_id;
  out.tier = Tier(static_cast<uint8_t>(
      read(SettingsKey::kTier, int64_t{out.tier.value()})));
  out.weight = Weight(read(SettingsKey::kWeight, out.weight.value()));
  out.ttft_target = absl::Milliseconds(read(
      SettingsKey::kTtftTargetMs, absl::ToInt64Milliseconds(out.ttft_target)));
  out.total_target =
      absl::Milliseconds(read(SettingsKey::kTotalTargetMs,
                              absl::ToInt64Milliseconds(out.total_target)));
  out.max_requests_per_s =
      read(SettingsKey::kMaxRequestsPerS, out.max_requests_per_s);
  out.max_tokens_per_s =
      read(SettingsKey::kMaxTokensPerS, out.max_tokens_per_s);
  out.max_concurrency = static_cast<int>(
      read(SettingsKey::kMaxConcurrency, int64_t{out.max_concurrency}));
  out.max_output_tokens = Tokens(
      read(SettingsKey::kMaxOutputTokens, out.max_output_tokens.value()));
  out.retry_budget_ratio =
      read(SettingsKey::kRetryBudgetRatio, out.retry_budget_ratio);
  out.guaranteed_share =
      read(SettingsKey::kGuaranteedShare, out.guaranteed_share);
  out.default_model = ModelId(read(SettingsKey::kModel, std::string()));
  out.idempotent = read(SettingsKey::kIdempotent, out.idempotent);
  return out;
}

std::vector<EffectiveAccount> SettingsTree::EffectiveAccounts() const {
  std::vector<EffectiveAccount> out;
  out.reserve(accounts_.size());
  for (const auto& [account, node] : accounts_) {
    EffectiveAccount& effective = out.emplace_back();
    effective.account = account;
    if (const SettingsValue* keys =
            FindValue(&node.values, SettingsKey::kApiKeySha256)) {
      effective.api_key_sha256 = std::get<std::vector<std::string>>(*keys);
    }
    // A default class set at the fleet level applies only to accounts that have
    // a class of this name.
    const SettingsValue* default_class =
        Lookup(SettingsKey::kDefaultClass, nullptr, &node.values);
    if (default_class != nullptr) {
      const ClassId id(std::get<std::string>(*default_class));
      if (node.classes.contains(id)) {
        effective.default_class = id;
      }
    }
    effective.classes.reserve(node.classes.size());
    for (const auto& [class_id, values] : node.classes) {
      effective.classes.push_back(
          BuildEffectiveClass(account, node, class_id, values));
    }
  }
  return out;
}

Expected<SettingsTree::Values> SettingsTree::ValuesAt(
    std::string_view path_text) const {
  const auto path = ParsePath(path_text);
  if (!path) {
    return tl::unexpected<Error>(path.error());
  }
  if (!path->account) {
    return fleet_;
  }
  const auto account = accounts_.find(*path->account);
  if (account != accounts_.end()) {
    if (!path->class_id) {
      return account->second.values;
    }
    const auto node = account->second.classes.find(*path->class_id);
    if (node != account->second.classes.end()) {
      return node->second;
    }
  }
  return Fail(ErrorKind::kNotFound,
              absl::StrCat("there is no ", Quote(path_text)));
}

Expected<SettingsExplanation> SettingsTree::Explain(
    std::string_view path_text,
    std::string_view key) const {
  const auto own_values = ValuesAt(path_text);
  if (!own_values) {
    return tl::unexpected<Error>(own_values.error());
  }
  const SettingsKeyInfo* info = FindSettingsKey(key);
  if (info == nullptr) {
    return InvalidSettings(absl::StrCat("unknown key ", Quote(key)));
  }
  std::string path(path_text);
  while (true) {
    const auto values = ValuesAt(path);
    if (const SettingsValue* value = FindValue(&*values, info->key)) {
      return SettingsExplanation{SettingsValueToJson(*value).dump(), path};
    }
    const size_t slash = path.rfind('/');
    if (slash == std::string::npos) {
      return SettingsExplanation{std::string(info->default_json), "default"};
    }
    path.resize(slash);
  }
}

nlohmann::json SettingsTree::ToJson() const {
  nlohmann::json accounts = nlohmann::json::object();
  for (const auto& [account, node] : accounts_) {
    nlohmann::json classes = nlohmann::json::object();
    for (const auto& [class_id, values] : node.classes) {
      classes[class_id.value()] = ValuesToJson(values);
    }
    accounts[account.value()] = {{"values", ValuesToJson(node.values)},
                                 {"classes", std::move(classes)}};
  }
  return {{"values", ValuesToJson(fleet_)}, {"accounts", std::move(accounts)}};
}

Expected<SettingsTree> SettingsTree::FromJson(const nlohmann::json& json) {
  static const nlohmann::json empty = nlohmann::json::object();
  const auto member = [](const nlohmann::json& object,
                         const char* name) -> const nlohmann::json& {
    const auto it = object.find(name);
    return it == object.end() ? empty : *it;
  };
  std::vector<SettingsEdit> edits;
  Expected<void> result = CheckMembers("fleet", json, {"values", "accounts"});
  if (result) {
    result = AddEdits("fleet", member(json, "values"), &edits);
  }
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  for (const auto& [account, node] : member(json, "accounts").items()) {
    const std::string path = "fleet/" + account;
    edits.push_back({path, "", false, ""});
    result = CheckMembers(path, node, {"values", "classes"});
    if (result) {
      result = AddEdits(path, member(node, "values"), &edits);
    }
    if (!result) {
      return tl::unexpected<Error>(result.error());
    }
    for (const auto& [class_id, values] : member(node, "classes").items()) {
      const std::string class_path = absl::StrCat(path, "/", class_id);
      edits.push_back({class_path, "", false, ""});
      if (!values.is_object()) {
        return InvalidSettings(
            absl::StrCat("at ", Quote(class_path), ": not a JSON object"));
      }
      result = AddEdits(class_path, values, &edits);
      if (!result) {
        return tl::unexpected<Error>(result.error());
      }
    }
  }
  SettingsTree tree;
  result = tree.ApplyAll(edits);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  return tree;
}

}  // namespace camphorsail
