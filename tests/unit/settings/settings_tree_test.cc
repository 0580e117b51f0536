#include "camphorsail/settings/settings_tree.h"

#include "camphorsail/settings/settings_diff.h"
#include "camphorsail/settings/settings_file.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

SettingsEdit Set(std::string path, std::string key, std::string value) {
  return {std::move(path), std::move(key), false, std::move(value)};
}

SettingsEdit Remove(std::string path, std::string key = "") {
  return {std::move(path), std::move(key), true, ""};
}

SettingsTree MakeTree(const std::vector<SettingsEdit>& edits) {
  SettingsTree tree;
  const auto result = tree.Apply(edits);
  EXPECT_TRUE(result.has_value()) << result.error().message;
  return tree;
}

std::string ErrorOf(SettingsTree tree, const std::vector<SettingsEdit>& edits) {
  const SettingsTree before = tree;
  const auto result = tree.Apply(edits);
  EXPECT_FALSE(result.has_value());
  EXPECT_EQ(tree, before) << "a rejected change modified the tree";
  return result ? "" : result.error().message;
}

// Guards against a key table that differs from the enum, or from the defaults
// of `EffectiveClass`, which apply when no level sets a value.
TEST(SettingsKeyTest, TableMatchesEnumAndDefaults) {
  int position = 0;
  for (const SettingsKeyInfo& info : GetSettingsKeys()) {
    EXPECT_EQ(static_cast<int>(info.key), position++);
    EXPECT_EQ(FindSettingsKey(info.name), &info);
    if (info.type != SettingsValueType::kName) {
      EXPECT_TRUE(
          ParseSettingsValue(info, nlohmann::json::parse(info.default_json)))
          << info.name;
    }
  }
  const SettingsTree tree = MakeTree({Set("fleet/a/x", "", "")});
  const EffectiveClass got = tree.EffectiveAccounts()[0].classes[0];
  const EffectiveClass want;
  EXPECT_EQ(got.tier, want.tier);
  EXPECT_EQ(got.weight, want.weight);
  EXPECT_EQ(got.ttft_target, want.ttft_target);
  EXPECT_EQ(got.total_target, want.total_target);
  EXPECT_EQ(got.max_output_tokens, want.max_output_tokens);
  EXPECT_EQ(got.retry_budget_ratio, want.retry_budget_ratio);
  EXPECT_EQ(got.guaranteed_share, want.guaranteed_share);
  EXPECT_EQ(got.idempotent, want.idempotent);
  EXPECT_EQ(tree.Explain("fleet/a/x", "tier")->value_json, "3");
  EXPECT_EQ(tree.Explain("fleet/a/x", "tier")->source_path, "default");
}

// Guards against a class or account value that does not override the value of
// the level above, and against a wrong source in an explanation.
TEST(SettingsTreeTest, LowerLevelTakesPrecedence) {
  const SettingsTree tree = MakeTree(
      {Set("fleet", "tier", "2"), Set("fleet", "ttft_target_ms", "700"),
       Set("fleet/a", "tier", "1"), Set("fleet/a/x", "tier", "0"),
       Set("fleet/a/y", "", ""), Set("fleet/b/z", "", "")});
  const auto accounts = tree.EffectiveAccounts();
  EXPECT_EQ(accounts[0].classes[0].tier, Tier(0));
  EXPECT_EQ(accounts[0].classes[1].tier, Tier(1));
  EXPECT_EQ(accounts[1].classes[0].tier, Tier(2));
  EXPECT_EQ(accounts[1].classes[0].ttft_target, absl::Milliseconds(700));
  EXPECT_EQ(tree.Explain("fleet/a/y", "tier")->source_path, "fleet/a");
  EXPECT_EQ(tree.Explain("fleet/b/z", "tier")->source_path, "fleet");
  EXPECT_EQ(tree.Explain("fleet/c", "tier").error().kind, ErrorKind::kNotFound);
}

// Guards against accepting edits with an invalid path, key, value type or range
// or at the wrong level, and against messages that do not name the mistake.
TEST(SettingsTreeTest, RejectsInvalidEdits) {
  const std::vector<std::pair<SettingsEdit, std::string>> cases = {
      {Set("fleet", "tier", "4"), "tier must be an integer from 0 to 3"},
      {Set("fleet", "tier", "1.5"), "integer"},
      {Set("fleet", "weight", "0"), "weight"},
      {Set("fleet", "weight", "\"1\""), "a number"},
      {Set("fleet", "ttft_target_ms", "0"), "(ms)"},
      {Set("fleet", "idempotent", "1"), "true or false"},
      {Set("fleet", "api_key_sha256", "[]"), "level"},
      {Set("fleet/a", "api_key_sha256", "[\"AB\"]"), "SHA-256"},
      {Set("fleet/a/x", "max_requests_per_s", "5"), "level"},
      {Set("fleet/a", "default_class", "\"x\""), "no class"},
      {Set("fleet", "tier", "{"), "not valid JSON"},
      {Set("fleet", "speed", "1"), "unknown key"},
      {Set("fleets", "tier", "1"), "path"},
      {Set("fleet/a/b/c", "tier", "1"), "path"},
      {Set("fleet/a b", "tier", "1"), "name"},
      {Set("fleet/", "tier", "1"), "name"},
      {Set("fleet/a/x", "ttft_target_ms", "70000"), "exceeds"},
  };
  for (const auto& [edit, expected] : cases) {
    const std::string message = ErrorOf(SettingsTree(), {edit});
    EXPECT_NE(message.find(expected), std::string::npos)
        << edit.path << " " << edit.key << ": " << message;
  }
}

// Guards against a rejected change of which some edits stay applied.
TEST(SettingsTreeTest, InvalidLastEditRollsBackTheChange) {
  const SettingsTree tree =
      MakeTree({Set("fleet/a/x", "tier", "1"), Set("fleet", "weight", "2")});
  ErrorOf(tree, {Set("fleet/a/x", "tier", "0"), Remove("fleet/a"),
                 Set("fleet/b/y", "tier", "2"), Set("fleet", "weight", "3"),
                 Set("fleet", "tier", "9")});
}

// Guards against two accounts with the same API key, which would let one act as
// the other, and against guaranteed shares that exceed the whole capacity.
TEST(SettingsTreeTest, ValidatesAcrossAccounts) {
  const std::string digest = "[\"" + std::string(64, 'a') + "\"]";
  SettingsTree tree = MakeTree({Set("fleet/a", "api_key_sha256", digest)});
  EXPECT_NE(ErrorOf(tree, {Set("fleet/b", "api_key_sha256", digest)})
                .find("same API key"),
            std::string::npos);
  EXPECT_TRUE(tree.Apply({Remove("fleet/a", "api_key_sha256"),
                          Set("fleet/b", "api_key_sha256", digest)}));
  EXPECT_NE(ErrorOf(tree, {Set("fleet/a/x", "guaranteed_share", "0.6"),
                           Set("fleet/b/y", "guaranteed_share", "0.5")})
                .find("add up"),
            std::string::npos);
  EXPECT_TRUE(tree.Apply({Set("fleet/a/x", "guaranteed_share", "0.5"),
                          Set("fleet/b/y", "guaranteed_share", "0.5")}));
}

// Guards against removing the default class of an account.
TEST(SettingsTreeTest, DefaultClassMustExist) {
  SettingsTree tree = MakeTree(
      {Set("fleet/a/x", "", ""), Set("fleet/a", "default_class", "\"x\"")});
  EXPECT_EQ(tree.EffectiveAccounts()[0].default_class, ClassId("x"));
  ErrorOf(tree, {Remove("fleet/a/x")});
  EXPECT_TRUE(
      tree.Apply({Remove("fleet/a/x"), Remove("fleet/a", "default_class")}));
}

// Guards against trees and changes that grow without limit.
TEST(SettingsTreeTest, SizeIsBounded) {
  std::vector<SettingsEdit> classes;
  for (size_t i = 0; i <= kMaxSettingsClassesPerAccount; ++i) {
    classes.push_back(Set("fleet/a/c" + std::to_string(i), "", ""));
  }
  SettingsTree tree;
  EXPECT_EQ(tree.Apply(classes).error().kind, ErrorKind::kSettingsTooLarge);
  std::vector<SettingsEdit> accounts;
  for (size_t i = 0; i <= kMaxSettingsAccounts; ++i) {
    accounts.push_back(Set("fleet/a" + std::to_string(i), "", ""));
  }
  EXPECT_EQ(tree.Apply(accounts).error().kind, ErrorKind::kSettingsTooLarge);
  const std::vector<SettingsEdit> many(kMaxSettingsEdits + 1,
                                       Set("fleet", "tier", "1"));
  EXPECT_EQ(tree.Apply(many).error().kind, ErrorKind::kSettingsTooLarge);
  const std::string blank(kMaxSettingsChangeBytes, ' ');
  EXPECT_EQ(tree.Apply({Set("fleet", "tier", blank + "1")}).error().kind,
            ErrorKind::kSettingsTooLarge);
  EXPECT_EQ(tree, SettingsTree());
}

// Guards against an export that cannot be imported again, and against a diff
// that does not turn one tree into the other.
TEST(SettingsTreeTest, ExportAndDiffRoundTrip) {
  const SettingsTree from =
      MakeTree({Set("fleet", "tier", "2"), Set("fleet/a/x", "weight", "0.1"),
                Set("fleet/a/y", "idempotent", "false"),
                Set("fleet/b", "model", "\"m-1\"")});
  const SettingsTree to =
      MakeTree({Set("fleet", "tier", "1"), Set("fleet/a/x", "weight", "0.1"),
                Set("fleet/a/z", "", ""), Set("fleet/c/w", "tier", "0")});
  for (const SettingsTree& tree : {from, to}) {
    const auto text = tree.ToJson().dump();
    EXPECT_EQ(*SettingsTree::FromJson(nlohmann::json::parse(text)), tree);
  }
  SettingsTree tree = from;
  EXPECT_TRUE(tree.Apply(DiffSettings(from, to)));
  EXPECT_EQ(tree, to);
  EXPECT_TRUE(DiffSettings(to, to).empty());
}

// Guards against misspelt or malformed members being ignored, and against
// messages that do not name the path.
TEST(SettingsTreeTest, ImportNamesThePathOfTheViolation) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"([])", "not a JSON object"},
      {R"({"value": {}})", "unknown member"},
      {R"({"accounts": {"a": {"clases": {}}}})", "fleet/a"},
      {R"({"accounts": {"a": {"classes": {"x": 3}}}})", "fleet/a/x"},
      {R"({"accounts": {"a": {"classes": {"x": {"tier": 9}}}}})", "fleet/a/x"},
      {R"({"accounts": {"a": 1}})", "fleet/a"},
      {R"({"values": {"": 1}})", "empty key"},
  };
  for (const auto& [text, expected] : cases) {
    const auto tree = SettingsTree::FromJson(nlohmann::json::parse(text));
    ASSERT_FALSE(tree.has_value()) << text;
    EXPECT_NE(tree.error().message.find(expected), std::string::npos)
        << tree.error().message;
  }
}

// Guards against a file that is applied only in part: one change must produce
// the whole tree of the file, and a repeated member must be rejected.
TEST(SettingsFileTest, FileBecomesOneChange) {
  SettingsTree tree =
      MakeTree({Set("fleet/a/x", "tier", "1"), Set("fleet/b/y", "tier", "2")});
  const SettingsTree wanted =
      MakeTree({Set("fleet/a/x", "tier", "0"), Set("fleet", "weight", "2.5")});
  const auto change =
      MakeChangeFromFile(tree, SettingsVersion(4), RenderSettingsFile(wanted),
                         ChangeId("c"), "ana");
  ASSERT_TRUE(change.has_value()) << change.error().message;
  EXPECT_EQ(change->base_version, SettingsVersion(4));
  EXPECT_TRUE(tree.Apply(change->edits));
  EXPECT_EQ(tree, wanted);
  const auto repeated = ParseSettingsFile(
      R"({"accounts": {"a": {"classes": {}}, "a": {"values": {}}}})");
  ASSERT_FALSE(repeated.has_value());
  EXPECT_NE(repeated.error().message.find("\"a\" occurs twice"),
            std::string::npos);
  EXPECT_NE(ParseSettingsFile("{\"values\": ").error().message.find("byte"),
            std::string::npos);
  EXPECT_FALSE(ParseSettingsFile("\xff").has_value());
}

}  // namespace
}  // namespace camphorsail
