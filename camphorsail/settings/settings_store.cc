#include "camphorsail/settings/settings_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/msgpack_unpack.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

constexpr uint32_t kSnapshotFormat = 1;
/// Limit on error messages, which are part of the replicated answers.
constexpr size_t kMaxMessageBytes = 512;

size_t EditBytes(const std::vector<SettingsEdit>& edits) {
  size_t bytes = 0;
  for (const SettingsEdit& edit : edits) {
    bytes += edit.path.size() + edit.key.size() + edit.value_json.size() +
             sizeof(SettingsEdit);
  }
  return bytes;
}

uint64_t HashContent(const SettingsChange& change) {
  return Fnv1a64(PackBytes(change));
}

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxSettingsIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c >= 0x20 && c < 0x7f; });
}

}  // namespace

SettingsAnswer SettingsStore::Apply(const SettingsChange& change,
                                    int64_t wall_micros) {
  SettingsAnswer answer;
  answer.change_id = change.change_id;
  answer.content_hash = HashContent(change);
  const auto previous = answers_.find(change.change_id);
  if (previous != answers_.end()) {
    if (previous->second.content_hash == answer.content_hash) {
      return previous->second;
    }
    answer.version = version_;
    answer.error_kind = ErrorKind::kSettingsInvalid;
    answer.error_message =
        "the change id was used before for a different change";
    return answer;
  }
  Expected<void> result = CheckChange(change);
  if (result) {
    result = tree_.Apply(change.edits);
  }
  if (result) {
    version_ = SettingsVersion(version_.value() + 1);
    answer.accepted = true;
    AddHistory({version_, change.change_id, change.operator_name, wall_micros,
                change.edits});
  } else {
    answer.error_kind = result.error().kind;
    answer.error_message = result.error().message.substr(0, kMaxMessageBytes);
  }
  answer.version = version_;
  if (IsValidId(change.change_id.value())) {
    StoreAnswer(answer);
  }
  return answer;
}

Expected<void> SettingsStore::CheckChange(const SettingsChange& change) const {
  if (!IsValidId(change.change_id.value()) ||
      !IsValidId(change.operator_name)) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        absl::StrCat("change id and operator must be 1 to ",
                     kMaxSettingsIdBytes, " printable ASCII characters"));
  }
  if (change.base_version > version_) {
    return Fail(ErrorKind::kSettingsConflict,
                absl::StrCat("the change is based on version ",
                             change.base_version.value(),
                             ", which does not exist; version ",
                             version_.value(), " is in force"));
  }
  if (change.base_version < version_) {
    return Fail(ErrorKind::kSettingsConflict,
                DescribeConflict(change.base_version));
  }
  return {};
}

std::pair<SettingsTree, SettingsVersion> SettingsStore::Preview(
    const std::vector<SettingsChange>& changes) const {
  std::pair<SettingsTree, SettingsVersion> preview(tree_, version_);
  for (const SettingsChange& change : changes) {
    // A change whose id was answered before gets the stored answer and is not
    // applied again. A change repeated within `changes` is already excluded by
    // its base version.
    if (change.base_version == preview.second &&
        !answers_.contains(change.change_id) &&
        IsValidId(change.change_id.value()) &&
        IsValidId(change.operator_name) && preview.first.Apply(change.edits)) {
      preview.second = SettingsVersion(preview.second.value() + 1);
    }
  }
  return preview;
}

std::string SettingsStore::DescribeConflict(SettingsVersion base) const {
  std::string text =
      absl::StrCat("the change is based on version ", base.value(),
                   "; version ", version_.value(), " is in force");
  const SettingsVersion next(base.value() + 1);
  const auto next_change =
      std::find_if(history_.begin(), history_.end(),
                   [&](const auto& entry) { return entry.version == next; });
  if (next_change != history_.end()) {
    absl::StrAppend(&text, "; version ", next.value(), " was made by ",
                    next_change->operator_name, " with change ",
                    next_change->change_id.value());
  }
  return text;
}

void SettingsStore::StoreAnswer(SettingsAnswer answer) {
  while (answer_order_.size() >= kMaxSettingsAnswers) {
    answers_.erase(answer_order_.front());
    answer_order_.pop_front();
  }
  answer_order_.push_back(answer.change_id);
  answers_.emplace(answer.change_id, std::move(answer));
}

void SettingsStore::AddHistory(SettingsHistoryEntry entry) {
  history_bytes_ += EditBytes(entry.edits);
  history_.push_back(std::move(entry));
  while (history_.size() > 1 && (history_.size() > kMaxSettingsHistoryEntries ||
                                 history_bytes_ > kMaxSettingsHistoryBytes)) {
    history_bytes_ -= EditBytes(history_.front().edits);
    history_.pop_front();
  }
}

std::string SettingsStore::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(5);
  packer.pack(kSnapshotFormat);
  packer.pack(tree_.ToJson().dump());
  packer.pack(version_);
  packer.pack_array(static_cast<uint32_t>(history_.size()));
  for (const SettingsHistoryEntry& entry : history_) {
    packer.pack(entry);
  }
  packer.pack_array(static_cast<uint32_t>(answer_order_.size()));
  for (const ChangeId& id : answer_order_) {
    packer.pack(answers_.at(id));
  }
  return std::string(buffer.data(), buffer.size());
}

Expected<SettingsStore> SettingsStore::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto fields = handle.get().as<std::vector<msgpack::object>>();
    if (fields.size() != 5 || fields[0].as<uint32_t>() != kSnapshotFormat) {
      return Fail(
          ErrorKind::kDataCorrupt,
          "settings snapshot: unknown format or wrong number of fields");
    }
    const auto json =
        nlohmann::json::parse(fields[1].as<std::string>(), nullptr, false);
    auto tree = SettingsTree::FromJson(json);
    if (!tree) {
      return Fail(ErrorKind::kDataCorrupt, tree.error().message);
    }
    SettingsStore store;
    store.tree_ = std::move(*tree);
    store.version_ = fields[2].as<SettingsVersion>();
    for (auto& entry : fields[3].as<std::vector<SettingsHistoryEntry>>()) {
      store.AddHistory(std::move(entry));
    }
    for (auto& answer : fields[4].as<std::vector<SettingsAnswer>>()) {
      store.StoreAnswer(std::move(answer));
    }
    return store;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("settings snapshot: ", e.what()));
  }
}

}  // namespace camphorsail
