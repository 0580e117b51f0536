#include "camphorsail/accounting/refused_minutes.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

constexpr uint32_t kSnapshotFormat = 1;

RefusedMinuteRecord ToRecord(const RefusedMinutes::Key& key,
                             const RefusedMinutes::FirstRefusal& first) {
  return {key.account,  key.class_id,    key.minute,
          first.reason, first.at_micros, first.vm};
}

}  // namespace

RefusedMinutes::RefusedMinutes(size_t capacity) : capacity_(capacity) {}
RefusedMinutes::~RefusedMinutes() = default;
RefusedMinutes::RefusedMinutes(const RefusedMinutes&) = default;
RefusedMinutes::RefusedMinutes(RefusedMinutes&&) noexcept = default;
RefusedMinutes& RefusedMinutes::operator=(const RefusedMinutes&) = default;
RefusedMinutes& RefusedMinutes::operator=(RefusedMinutes&&) noexcept = default;

bool RefusedMinutes::Add(const RefusedMinuteRecord& record) {
  if (record.minute < complete_from_) {
    return false;
  }
  const FirstRefusal first{record.first_at_micros, record.vm, record.reason};
  const auto [it, inserted] = minutes_.try_emplace(
      Key{record.minute, record.account, record.class_id}, first);
  if (inserted) {
    EnforceCapacity();
    return record.minute >= complete_from_;
  }
  if (first < it->second) {
    it->second = first;
    return true;
  }
  return false;
}

void RefusedMinutes::Merge(const RefusedMinutes& other) {
  DropBefore(other.complete_from_);
  for (const auto& [key, first] : other.minutes_) {
    Add(ToRecord(key, first));
  }
}

void RefusedMinutes::DropBefore(MinuteIndex minute) {
  complete_from_ = std::max(complete_from_, minute);
  minutes_.erase(minutes_.begin(),
                 minutes_.lower_bound(Key{complete_from_, {}, {}}));
}

void RefusedMinutes::EnforceCapacity() {
  while (minutes_.size() > capacity_) {
    DropBefore(MinuteIndex(minutes_.begin()->first.minute.value() + 1));
  }
}

std::vector<RefusedMinuteRecord> RefusedMinutes::Range(MinuteIndex first,
                                                       MinuteIndex last) const {
  std::vector<RefusedMinuteRecord> out;
  for (auto it = minutes_.lower_bound(Key{first, {}, {}});
       it != minutes_.end() && it->first.minute <= last; ++it) {
    out.push_back(ToRecord(it->first, it->second));
  }
  return out;
}

std::string RefusedMinutes::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(4);
  packer.pack(kSnapshotFormat);
  packer.pack(static_cast<uint64_t>(capacity_));
  packer.pack(complete_from_);
  packer.pack_array(static_cast<uint32_t>(minutes_.size()));
  for (const auto& [key, first] : minutes_) {
    packer.pack(ToRecord(key, first));
  }
  return std::string(buffer.data(), buffer.size());
}

Expected<RefusedMinutes> RefusedMinutes::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto fields = handle.get().as<std::vector<msgpack::object>>();
    if (fields.size() != 4 || fields[0].as<uint32_t>() != kSnapshotFormat) {
      return Fail(ErrorKind::kDataCorrupt,
                  "refused minutes snapshot: expected format 1 with 4 fields");
    }
    RefusedMinutes set(fields[1].as<uint64_t>());
    set.complete_from_ = fields[2].as<MinuteIndex>();
    for (const auto& record :
         fields[3].as<std::vector<RefusedMinuteRecord>>()) {
      set.Add(record);
    }
    return set;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("refused minutes snapshot: ", e.what()));
  }
}

}  // namespace camphorsail
