#include "camphorsail/settings/settings_store.h"

#include <array>
#include <map>
#include <optional>

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

SettingsChange MakeChange(std::string id,
                          uint64_t base,
                          std::vector<SettingsEdit> edits) {
  return {ChangeId(std::move(id)), SettingsVersion(base), "ana",
          std::move(edits)};
}

SettingsEdit SetTier(std::string path, int tier) {
  return {std::move(path), "tier", false, std::to_string(tier)};
}

// Guards against a lost update: when two operators send changes with the same
// base version, the second must be rejected with the name of the first.
TEST(SettingsStoreTest, StaleBaseVersionNamesTheConflictingChange) {
  SettingsStore store;
  EXPECT_TRUE(
      store.Apply(MakeChange("c1", 0, {SetTier("fleet", 1)}), 7).accepted);
  SettingsChange second = MakeChange("c2", 0, {SetTier("fleet", 2)});
  second.operator_name = "ben";
  const SettingsAnswer answer = store.Apply(second, 8);
  EXPECT_FALSE(answer.accepted);
  EXPECT_EQ(answer.error_kind, ErrorKind::kSettingsConflict);
  EXPECT_NE(answer.error_message.find("made by ana with change c1"),
            std::string::npos)
      << answer.error_message;
  EXPECT_EQ(store.history().back().wall_micros, 7);
}

// Guards against one change id being used for two different changes, and
// against a base version that does not exist yet.
TEST(SettingsStoreTest, RejectsReusedIdsAndUnknownVersions) {
  SettingsStore store;
  store.Apply(MakeChange("c1", 0, {SetTier("fleet", 1)}), 0);
  EXPECT_EQ(
      store.Apply(MakeChange("c1", 1, {SetTier("fleet", 2)}), 0).error_kind,
      ErrorKind::kSettingsInvalid);
  EXPECT_EQ(
      store.Apply(MakeChange("c2", 9, {SetTier("fleet", 2)}), 0).error_kind,
      ErrorKind::kSettingsConflict);
  EXPECT_EQ(store.Apply(MakeChange("", 1, {SetTier("fleet", 2)}), 0).error_kind,
            ErrorKind::kSettingsInvalid);
  EXPECT_EQ(store.version(), SettingsVersion(1));
}

// Guards against a history and kept answers that grow without limit, and
// against a resent change being applied again after its answer was dropped.
TEST(SettingsStoreTest, HistoryAndAnswersAreBounded) {
  SettingsStore store;
  const uint64_t count = kMaxSettingsAnswers + 10;
  for (uint64_t i = 0; i < count; ++i) {
    ASSERT_TRUE(store
                    .Apply(MakeChange("c" + std::to_string(i), i,
                                      {SetTier("fleet", i % 4)}),
                           0)
                    .accepted);
  }
  EXPECT_EQ(store.history().size(), kMaxSettingsHistoryEntries);
  EXPECT_EQ(
      store.Apply(MakeChange("c0", 0, {SetTier("fleet", 0)}), 0).error_kind,
      ErrorKind::kSettingsConflict);
  EXPECT_EQ(store.version(), SettingsVersion(count));
}

// Guards against truncated snapshots being accepted.
TEST(SettingsStoreTest, DamagedSnapshotIsCorrupt) {
  SettingsStore store;
  store.Apply(MakeChange("c1", 0, {SetTier("fleet/a/x", 1)}), 0);
  const std::string good = store.Snapshot();
  EXPECT_EQ(*SettingsStore::Restore(good), store);
  for (size_t size = 0; size < good.size(); ++size) {
    const auto cut = SettingsStore::Restore(good.substr(0, size));
    ASSERT_FALSE(cut.has_value());
    EXPECT_EQ(cut.error().kind, ErrorKind::kDataCorrupt);
  }
}

// Guards against a preview that differs from the result of applying the
// changes.
TEST(SettingsStoreTest, PreviewEqualsApplication) {
  SettingsStore store;
  store.Apply(MakeChange("c1", 0, {SetTier("fleet/a/x", 1)}), 0);
  const std::vector<SettingsChange> tail = {
      MakeChange("c1", 0, {SetTier("fleet/a/x", 1)}),
      MakeChange("c2", 1, {SetTier("fleet/a/x", 9)}),
      MakeChange("c3", 1, {SetTier("fleet/a/x", 0)}),
      MakeChange("c4", 1, {SetTier("fleet/a/x", 3)}),
      MakeChange("c5", 2, {SetTier("fleet/b/y", 2)})};
  const auto [tree, version] = store.Preview(tail);
  for (const SettingsChange& change : tail) {
    store.Apply(change, 0);
  }
  EXPECT_EQ(tree, store.tree());
  EXPECT_EQ(version, store.version());
}

/// The expected values by path and key, computed without `SettingsTree`.
using ModelTree = std::map<std::string, std::map<std::string, std::string>>;

ModelTree ToModel(const SettingsTree& tree) {
  ModelTree model;
  const auto add = [&](const std::string& path,
                       const SettingsTree::Values& values) {
    for (const auto& [key, value] : values) {
      model[path][std::string(GetSettingsKeyInfo(key).name)] =
          SettingsValueToJson(value).dump();
    }
  };
  add("fleet", tree.fleet());
  for (const auto& [account, node] : tree.accounts()) {
    add("fleet/" + account.value(), node.values);
    for (const auto& [class_id, values] : node.classes) {
      add("fleet/" + account.value() + "/" + class_id.value(), values);
    }
  }
  return model;
}

void ApplyToModel(const SettingsEdit& edit, ModelTree* model) {
  if (!edit.remove) {
    (*model)[edit.path][edit.key] = edit.value_json;
    return;
  }
  std::erase_if(*model, [&](const auto& node) {
    return node.first == edit.path || node.first.starts_with(edit.path + "/");
  });
}

/// Removes the kept answers from a snapshot, so that the restored store does
/// not recognise resent changes.
std::string RemoveAnswers(const std::string& snapshot) {
  const auto handle = msgpack::unpack(snapshot.data(), snapshot.size());
  const auto fields = handle.get().as<std::vector<msgpack::object>>();
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(5);
  for (size_t i = 0; i < 4; ++i) {
    packer.pack(fields[i]);
  }
  packer.pack_array(0);
  return std::string(buffer.data(), buffer.size());
}

/// Simulates two operators, each with the version that it last read, who make
/// conflicting changes and resend them, while the store crashes and is restored
/// from a snapshot. Each step is compared with a simple model.
/// @return The first difference from the model, if any.
std::optional<std::string> RunOperatorHistory(const std::vector<Step>& steps,
                                              bool keep_answers) {
  SettingsStore store;
  ModelTree model;
  uint64_t version = 0;
  std::array<uint64_t, 2> read_versions{};
  std::vector<SettingsChange> sent;
  std::vector<SettingsAnswer> answers;
  const std::array<std::string, 4> paths = {"fleet", "fleet/a", "fleet/a/x",
                                            "fleet/b/y"};
  for (const Step& step : steps) {
    const size_t operator_index = step.a % 2;
    switch (step.kind) {
      case 0:
      case 1:
      case 2: {
        SettingsChange change;
        change.change_id = ChangeId("c" + std::to_string(sent.size()));
        change.base_version = SettingsVersion(read_versions[operator_index]);
        change.operator_name = operator_index == 0 ? "ana" : "ben";
        const std::string& path = paths[step.b % paths.size()];
        // One in six values is out of range; one change in six removes a node.
        const bool invalid = step.c % 6 == 0;
        if (step.c % 6 == 1 && path != "fleet") {
          change.edits = {SetTier("fleet", 1), {path, "", true, ""}};
        } else {
          change.edits = {SetTier(path, step.b % 4),
                          SetTier("fleet", invalid ? 8 : step.c % 4)};
        }
        const SettingsAnswer answer = store.Apply(change, step.c);
        const bool expected =
            read_versions[operator_index] == version && !invalid;
        if (answer.accepted != expected) {
          return "accepted differs from the model: " + answer.error_message;
        }
        if (expected) {
          ++version;
          for (const SettingsEdit& edit : change.edits) {
            ApplyToModel(edit, &model);
          }
        }
        sent.push_back(change);
        answers.push_back(answer);
        break;
      }
      case 3:
        if (!sent.empty()) {
          const size_t which = step.b % sent.size();
          if (store.Apply(sent[which], 0) != answers[which]) {
            return "a resent change got another answer";
          }
        }
        break;
      case 4:
        read_versions[operator_index] = version;
        break;
      case 5: {
        const std::string snapshot = store.Snapshot();
        auto restored = SettingsStore::Restore(
            keep_answers ? snapshot : RemoveAnswers(snapshot));
        if (!restored) {
          return "restore failed: " + restored.error().message;
        }
        if (keep_answers && !(*restored == store)) {
          return "the restored store differs";
        }
        store = std::move(*restored);
        break;
      }
    }
    if (store.version().value() != version ||
        store.history().size() != version) {
      return "the version differs from the number of accepted changes";
    }
    if (ToModel(store.tree()) != model) {
      return "the tree differs from the model";
    }
  }
  return std::nullopt;
}

// Guards against changes that are lost, applied twice or answered differently
// when operators make conflicting changes, resend changes, and the store is
// restored from a snapshot at any point.
TEST(SettingsStoreHistoryTest, RacingOperatorsWithCrashes) {
  EXPECT_EQ(FindViolation(2000, 6,
                          [](const std::vector<Step>& steps) {
                            return RunOperatorHistory(steps, true);
                          }),
            std::nullopt);
}

// Checks that the test above detects a fault: answers to past changes that are
// missing from the snapshot.
TEST(SettingsStoreHistoryTest, DetectsAnswersMissingFromTheSnapshot) {
  const auto violation =
      FindViolation(2000, 6, [](const std::vector<Step>& steps) {
        return RunOperatorHistory(steps, false);
      });
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("another answer"), std::string::npos);
}

}  // namespace
}  // namespace camphorsail
