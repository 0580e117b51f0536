#include "camphorsail/storage/log_store.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/storage/data_folder.h"
#include "camphorsail/storage/record_frame.h"

namespace camphorsail {
namespace {

constexpr char kReplicaFile[] = "replica";
constexpr std::string_view kLogPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr uint32_t kFormatVersion = 1;

/// Content of the file `replica`.
struct ReplicaFile {
  uint32_t format_version = kFormatVersion;
  ReplicaId replica;
  HardState hard_state;

  MSGPACK_DEFINE(format_version, replica, hard_state)
};

/// Content of one record of the log.
struct LogRecord {
  LogIndex committed;
  std::vector<LogEntry> entries;

  MSGPACK_DEFINE(committed, entries)
};

std::string NumberedName(std::string_view prefix, uint64_t number) {
  char digits[32];
  // Fixed width, so that names sort by number.
  std::snprintf(digits, sizeof(digits), "%020" PRIu64, number);
  return std::string(prefix) + digits;
}

bool ParseNumberedName(std::string_view name,
                       std::string_view prefix,
                       uint64_t* number) {
  return name.starts_with(prefix) &&
         absl::SimpleAtoi(absl::string_view(name.data() + prefix.size(),
                                            name.size() - prefix.size()),
                          number) &&
         NumberedName(prefix, *number) == name;
}

tl::unexpected<Error> CorruptFileError(const std::string& name,
                                       const std::string& what) {
  return Fail(ErrorKind::kDataCorrupt, name + ": " + what);
}

/// @return The decoded content of a file that consists of one record.
template <typename T>
Expected<T> DecodeSingleRecord(const std::string& name,
                               std::string_view file,
                               uint64_t salt) {
  const auto payload = RecordFrame::Decode(file, 0, salt);
  if (!payload.has_value() ||
      payload->size() + RecordFrame::kHeaderBytes != file.size()) {
    return CorruptFileError(
        name,
        "the record is incomplete, fails its checksum or is not "
        "the only one in the file");
  }
  Expected<T> value = UnpackBytes<T>(*payload);
  if (!value.has_value()) {
    return CorruptFileError(name, "the record content cannot be decoded");
  }
  return value;
}

ReplicaId GenerateReplicaId() {
  std::random_device device;
  uint64_t value = 0;
  while (value == 0) {
    value = (static_cast<uint64_t>(device()) << 32) | device();
  }
  return ReplicaId(value);
}

}  // namespace

class LogStore::Impl {
 public:
  Impl(LogStoreSettings settings, DataFolder folder)
      : settings_(std::move(settings)), folder_(std::move(folder)) {}

  Expected<void> Recover();
  Expected<void> Write(const WriteBatch& batch);
  DurableState TakeRecoveredState() { return std::move(recovered_); }

 private:
  struct Segment {
    uint64_t number = 0;
    /// Largest index of any entry in the segment.
    LogIndex last;
    uint64_t size = 0;
  };

  Expected<void> WriteReplicaFile(const HardState& hard_state);
  Expected<void> RecoverSnapshot(const std::vector<uint64_t>& numbers);
  Expected<void> RecoverSegment(uint64_t number, bool is_last);
  Expected<void> AddRecoveredEntries(const std::string& name,
                                     std::vector<LogEntry> entries,
                                     Segment* segment);
  Expected<void> WriteSnapshot(const Snapshot& snapshot, LogIndex first_kept);
  Expected<void> AppendEntries(const std::vector<LogEntry>& entries,
                               LogIndex committed);
  Expected<void> StartSegment();
  Expected<void> DropAllSegments();
  Expected<void> DropSegmentsBefore(LogIndex first_kept);

  LogStoreSettings settings_;
  DataFolder folder_;
  DurableState recovered_;
  ReplicaId replica_;
  std::vector<Segment> segments_;
  /// The last segment; open once something was appended to it.
  FileDescriptor current_file_;
  /// True when the file of the last segment may be longer than `Segment::size`,
  /// because an append failed.
  bool may_need_truncation_ = false;
  uint64_t last_segment_number_ = 0;
  /// Last index of the stored snapshot; zero when there is none.
  LogIndex snapshot_index_;
  /// Terms of the stored entries from index `first_index_` on. Needed to check
  /// whether the log contains a snapshot's last entry.
  LogIndex first_index_;
  std::vector<TermNumber> terms_;
};

Expected<void> LogStore::Impl::WriteReplicaFile(const HardState& hard_state) {
  const std::string payload =
      PackBytes(ReplicaFile{kFormatVersion, replica_, hard_state});
  return folder_.Replace(kReplicaFile, RecordFrame::Encode(payload, 0, 0));
}

Expected<void> LogStore::Impl::Recover() {
  const Expected<std::vector<std::string>> names = folder_.List();
  if (!names.has_value()) {
    return tl::unexpected<Error>(names.error());
  }
  std::vector<uint64_t> segments;
  std::vector<uint64_t> snapshots;
  bool has_replica = false;
  for (const std::string& name : *names) {
    uint64_t number = 0;
    if (ParseNumberedName(name, kLogPrefix, &number)) {
      segments.push_back(number);
    } else if (ParseNumberedName(name, kSnapshotPrefix, &number)) {
      snapshots.push_back(number);
    } else if (name == kReplicaFile) {
      has_replica = true;
    } else if (name.ends_with(kTemporarySuffix)) {
      // A crash before the rename left this file.
      const Expected<void> removed = folder_.Remove(name);
      if (!removed.has_value()) {
        return removed;
      }
    }
  }
  if (!has_replica) {
    if (!segments.empty() || !snapshots.empty()) {
      return CorruptFileError(
          kReplicaFile,
          "the file is missing, but the folder contains log segments or "
          "snapshots");
    }
    replica_ = GenerateReplicaId();
    recovered_.replica = replica_;
    recovered_.is_new = true;
    return WriteReplicaFile(HardState());
  }
  const Expected<std::string> content = folder_.Read(kReplicaFile);
  if (!content.has_value()) {
    return tl::unexpected<Error>(content.error());
  }
  const auto file = DecodeSingleRecord<ReplicaFile>(kReplicaFile, *content, 0);
  if (!file.has_value()) {
    return tl::unexpected<Error>(file.error());
  }
  if (file->format_version != kFormatVersion || file->replica == ReplicaId()) {
    return CorruptFileError(
        kReplicaFile, "expected format version " +
                          std::to_string(kFormatVersion) +
                          " and a non-zero replica id, found version " +
                          std::to_string(file->format_version) + " and id " +
                          std::to_string(file->replica.value()));
  }
  replica_ = file->replica;
  recovered_.replica = replica_;
  recovered_.hard_state = file->hard_state;

  const Expected<void> snapshot = RecoverSnapshot(snapshots);
  if (!snapshot.has_value()) {
    return snapshot;
  }
  for (size_t i = 0; i < segments.size(); ++i) {
    if (i > 0 && segments[i] != segments[i - 1] + 1) {
      return CorruptFileError(NumberedName(kLogPrefix, segments[i]),
                              "the preceding segment is missing");
    }
    const Expected<void> segment =
        RecoverSegment(segments[i], i + 1 == segments.size());
    if (!segment.has_value()) {
      return segment;
    }
  }
  std::vector<LogEntry>& entries = recovered_.entries;
  const LogPosition last = recovered_.snapshot == nullptr
                               ? LogPosition()
                               : recovered_.snapshot->last;
  if (!entries.empty() && entries.front().index <= last.index) {
    // The process crashed after it stored a received snapshot and before it
    // removed the log that the snapshot replaces.
    const size_t offset = last.index.value() - entries.front().index.value();
    if (offset >= entries.size() || entries[offset].term != last.term) {
      entries.clear();
      recovered_.committed = last.index;
      return DropAllSegments();
    }
  }
  if (!entries.empty()) {
    if (entries.front().index > NextIndex(last.index)) {
      return CorruptFileError(
          NumberedName(kLogPrefix, segments.front()),
          "the first entry has index " +
              std::to_string(entries.front().index.value()) +
              ", but the snapshot ends at index " +
              std::to_string(last.index.value()));
    }
    first_index_ = entries.front().index;
    for (const LogEntry& entry : entries) {
      terms_.push_back(entry.term);
    }
  }
  return {};
}

Expected<void> LogStore::Impl::RecoverSnapshot(
    const std::vector<uint64_t>& numbers) {
  if (numbers.empty()) {
    return {};
  }
  const std::string name = NumberedName(kSnapshotPrefix, numbers.back());
  const Expected<std::string> content = folder_.Read(name);
  if (!content.has_value()) {
    return tl::unexpected<Error>(content.error());
  }
  Expected<Snapshot> snapshot =
      DecodeSingleRecord<Snapshot>(name, *content, replica_.value());
  if (!snapshot.has_value()) {
    return tl::unexpected<Error>(snapshot.error());
  }
  if (snapshot->last.index.value() != numbers.back()) {
    return CorruptFileError(name,
                            "the snapshot ends at index " +
                                std::to_string(snapshot->last.index.value()) +
                                ", expected the index in the file name");
  }
  snapshot_index_ = snapshot->last.index;
  recovered_.snapshot = std::make_shared<const Snapshot>(*std::move(snapshot));
  for (size_t i = 0; i + 1 < numbers.size(); ++i) {
    const Expected<void> removed =
        folder_.Remove(NumberedName(kSnapshotPrefix, numbers[i]));
    if (!removed.has_value()) {
      return removed;
    }
  }
  return {};
}

Expected<void> LogStore::Impl::RecoverSegment(uint64_t number, bool is_last) {
  const std::string name = NumberedName(kLogPrefix, number);
  const Expected<std::string> content = folder_.Read(name);
  if (!content.has_value()) {
    return tl::unexpected<Error>(content.error());
  }
  const std::string_view file = *content;
  last_segment_number_ = number;
  Segment segment{number, LogIndex(), 0};
  while (segment.size < file.size()) {
    const auto payload =
        RecordFrame::Decode(file, segment.size, replica_.value());
    if (!payload.has_value()) {
      // A batch is one record and is synced before the next one is written.
      // Only the last record of the last segment can therefore be incomplete.
      if (!is_last || RecordFrame::HasRecordFrom(file, segment.size + 1,
                                                 replica_.value())) {
        return CorruptFileError(
            name, "the record at offset " + std::to_string(segment.size) +
                      " is incomplete or fails its checksum, but is "
                      "not the last one");
      }
      const Expected<void> truncated = folder_.Truncate(name, segment.size);
      if (!truncated.has_value()) {
        return truncated;
      }
      break;
    }
    auto record = UnpackBytes<LogRecord>(*payload);
    if (!record.has_value()) {
      return CorruptFileError(name, "the record content cannot be decoded");
    }
    const Expected<void> taken =
        AddRecoveredEntries(name, std::move(record->entries), &segment);
    if (!taken.has_value()) {
      return taken;
    }
    recovered_.committed = std::max(recovered_.committed, record->committed);
    segment.size += RecordFrame::kHeaderBytes + payload->size();
  }
  segments_.push_back(segment);
  return {};
}

Expected<void> LogStore::Impl::AddRecoveredEntries(
    const std::string& name,
    std::vector<LogEntry> entries,
    Segment* segment) {
  std::vector<LogEntry>& all = recovered_.entries;
  for (LogEntry& entry : entries) {
    // An entry replaces the stored entries at and after its index.
    while (!all.empty() && all.back().index >= entry.index) {
      all.pop_back();
    }
    if (!all.empty() && entry.index != NextIndex(all.back().index)) {
      return CorruptFileError(
          name, "found entry " + std::to_string(entry.index.value()) +
                    " after entry " + std::to_string(all.back().index.value()));
    }
    segment->last = std::max(segment->last, entry.index);
    all.push_back(std::move(entry));
  }
  return {};
}

Expected<void> LogStore::Impl::Write(const WriteBatch& batch) {
  if (batch.hard_state.has_value()) {
    const Expected<void> written = WriteReplicaFile(*batch.hard_state);
    if (!written.has_value()) {
      return written;
    }
  }
  if (batch.snapshot != nullptr) {
    const Expected<void> written =
        WriteSnapshot(*batch.snapshot, batch.first_kept);
    if (!written.has_value()) {
      return written;
    }
  }
  if (!batch.entries.empty()) {
    return AppendEntries(batch.entries, batch.committed);
  }
  return {};
}

Expected<void> LogStore::Impl::WriteSnapshot(const Snapshot& snapshot,
                                             LogIndex first_kept) {
  if (snapshot.last.index <= snapshot_index_) {
    // The stored snapshot already contains these entries.
    return {};
  }
  const std::string payload = PackBytes(snapshot);
  if (payload.size() > RecordFrame::kMaxPayloadBytes) {
    return Fail(ErrorKind::kSettingsTooLarge,
                "the snapshot has " + std::to_string(payload.size()) +
                    " bytes, the limit is " +
                    std::to_string(RecordFrame::kMaxPayloadBytes));
  }
  const Expected<void> written = folder_.Replace(
      NumberedName(kSnapshotPrefix, snapshot.last.index.value()),
      RecordFrame::Encode(payload, 0, replica_.value()));
  if (!written.has_value()) {
    return written;
  }
  const LogIndex previous = std::exchange(snapshot_index_, snapshot.last.index);
  if (previous != LogIndex()) {
    const Expected<void> removed =
        folder_.Remove(NumberedName(kSnapshotPrefix, previous.value()));
    if (!removed.has_value()) {
      return removed;
    }
  }
  const uint64_t offset = snapshot.last.index.value() - first_index_.value();
  const bool contained =
      !terms_.empty() && snapshot.last.index >= first_index_ &&
      offset < terms_.size() && terms_[offset] == snapshot.last.term;
  return contained ? DropSegmentsBefore(first_kept) : DropAllSegments();
}

Expected<void> LogStore::Impl::AppendEntries(
    const std::vector<LogEntry>& entries,
    LogIndex committed) {
  const std::string payload = PackBytes(LogRecord{committed, entries});
  if (payload.size() > RecordFrame::kMaxPayloadBytes) {
    return Fail(ErrorKind::kSettingsTooLarge,
                "the batch of entries has " + std::to_string(payload.size()) +
                    " bytes, the limit is " +
                    std::to_string(RecordFrame::kMaxPayloadBytes));
  }
  if (may_need_truncation_) {
    // A failed append may have left an incomplete record.
    current_file_ = FileDescriptor();
    const Expected<void> truncated =
        folder_.Truncate(NumberedName(kLogPrefix, segments_.back().number),
                         segments_.back().size);
    if (!truncated.has_value()) {
      return truncated;
    }
    may_need_truncation_ = false;
  }
  if (!current_file_.IsOpen() ||
      segments_.back().size >= settings_.segment_bytes) {
    const Expected<void> started = StartSegment();
    if (!started.has_value()) {
      return started;
    }
  }
  Segment& segment = segments_.back();
  const std::string frame =
      RecordFrame::Encode(payload, segment.size, replica_.value());
  const Expected<void> written = folder_.AppendDurably(current_file_, frame);
  if (!written.has_value()) {
    may_need_truncation_ = true;
    return written;
  }
  segment.size += frame.size();
  if (terms_.empty()) {
    first_index_ = entries.front().index;
  }
  terms_.resize(entries.front().index.value() - first_index_.value());
  for (const LogEntry& entry : entries) {
    terms_.push_back(entry.term);
  }
  segment.last = std::max(segment.last, entries.back().index);
  return {};
}

Expected<void> LogStore::Impl::StartSegment() {
  // After a restart the last segment is continued when it is smaller than the
  // size limit.
  if (current_file_.IsOpen() || segments_.empty() ||
      segments_.back().size >= settings_.segment_bytes) {
    segments_.push_back(Segment{++last_segment_number_, LogIndex(), 0});
  }
  Expected<FileDescriptor> file =
      folder_.OpenForAppend(NumberedName(kLogPrefix, segments_.back().number));
  if (!file.has_value()) {
    return tl::unexpected<Error>(file.error());
  }
  current_file_ = *std::move(file);
  return folder_.Sync();
}

Expected<void> LogStore::Impl::DropAllSegments() {
  current_file_ = FileDescriptor();
  terms_.clear();
  // Removes the newest segment first, so that a crash does not leave a log with
  // a gap.
  while (!segments_.empty()) {
    const Expected<void> removed =
        folder_.Remove(NumberedName(kLogPrefix, segments_.back().number));
    if (!removed.has_value()) {
      return removed;
    }
    segments_.pop_back();
    const Expected<void> synced = folder_.Sync();
    if (!synced.has_value()) {
      return synced;
    }
  }
  return {};
}

Expected<void> LogStore::Impl::DropSegmentsBefore(LogIndex first_kept) {
  // The last segment is kept, because it is open for appending.
  while (segments_.size() > 1 && segments_.front().last < first_kept) {
    const Expected<void> removed =
        folder_.Remove(NumberedName(kLogPrefix, segments_.front().number));
    if (!removed.has_value()) {
      return removed;
    }
    segments_.erase(segments_.begin());
  }
  // Only the terms from `first_kept` on are still needed.
  if (first_kept > first_index_) {
    const uint64_t count = std::min<uint64_t>(
        terms_.size(), first_kept.value() - first_index_.value());
    terms_.erase(terms_.begin(),
                 terms_.begin() + static_cast<ptrdiff_t>(count));
    first_index_ = LogIndex(first_index_.value() + count);
  }
  return folder_.Sync();
}

Expected<std::unique_ptr<LogStore>> LogStore::Open(LogStoreSettings settings) {
  const Expected<void> valid = settings.Validate();
  if (!valid.has_value()) {
    return tl::unexpected<Error>(valid.error());
  }
  Expected<DataFolder> folder = DataFolder::Open(settings.folder);
  if (!folder.has_value()) {
    return tl::unexpected<Error>(folder.error());
  }
  auto impl = std::make_unique<Impl>(std::move(settings), *std::move(folder));
  const Expected<void> recovered = impl->Recover();
  if (!recovered.has_value()) {
    return tl::unexpected<Error>(recovered.error());
  }
  return std::unique_ptr<LogStore>(new LogStore(std::move(impl)));
}

LogStore::LogStore(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
LogStore::~LogStore() = default;

DurableState LogStore::TakeRecoveredState() {
  return impl_->TakeRecoveredState();
}

Expected<void> LogStore::Write(const WriteBatch& batch) {
  return impl_->Write(batch);
}

}  // namespace camphorsail
