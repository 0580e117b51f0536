#include "camphorsail/ledger/ledger.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

constexpr uint32_t kSnapshotFormat = 1;

/// The creation time in a key may be in the future, because the caller's clock
/// may be ahead. A record is kept until its key counts as too old, but at most
/// this much longer than `kLedgerRetention`.
constexpr absl::Duration kMaxKeyClockSkew = absl::Hours(24);

size_t HeaderBytes(const RecordedOutcome& outcome) {
  size_t bytes = 0;
  for (const auto& [name, value] : outcome.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

size_t OutcomeBytes(const RecordedOutcome& outcome) {
  return outcome.body.size() + HeaderBytes(outcome);
}

absl::Time ExpiryOf(const LedgerKey& key, absl::Time now) {
  absl::Time start = now;
  if (const auto created = KeyCreationTime(key.idempotency_key)) {
    start = std::max(start, std::min(*created, now + kMaxKeyClockSkew));
  }
  return start + kLedgerRetention;
}

bool IsTooOld(const LedgerKey& key, absl::Time now) {
  const auto created = KeyCreationTime(key.idempotency_key);
  return created && *created + kLedgerRetention <= now;
}

bool IsWithinBounds(const LedgerOpen& open) {
  return open.key.idempotency_key.value().size() <= kMaxIdempotencyKeyBytes &&
         open.request_digest.size() <= kMaxRequestDigestBytes;
}

bool IsSameAttempt(const LedgerRecord& record, const LedgerOpen& open) {
  return record.request == open.request && record.vm == open.vm &&
         record.attempt == open.attempt;
}

}  // namespace

std::optional<absl::Time> KeyCreationTime(const IdempotencyKey& key) {
  const std::string& text = key.value();
  if (text.size() != 36 || text[14] != '7' ||
      std::string_view("89abAB").find(text[19]) == std::string_view::npos) {
    return std::nullopt;
  }
  for (size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? text[i] != '-'
             : !absl::ascii_isxdigit(static_cast<unsigned char>(text[i]))) {
      return std::nullopt;
    }
  }
  uint64_t millis = 0;
  if (!absl::SimpleHexAtoi(absl::StrCat(text.substr(0, 8), text.substr(9, 4)),
                           &millis)) {
    return std::nullopt;
  }
  return absl::FromUnixMillis(static_cast<int64_t>(millis));
}

std::optional<ErrorKind> LedgerErrorKind(LedgerVerdict verdict) {
  switch (verdict) {
    case LedgerVerdict::kSend:
    case LedgerVerdict::kRecorded:
      return std::nullopt;
    case LedgerVerdict::kUnknown:
      return ErrorKind::kOutcomeUnknown;
    case LedgerVerdict::kKeyReused:
      return ErrorKind::kIdempotencyKeyReused;
    case LedgerVerdict::kKeyExpired:
      return ErrorKind::kIdempotencyKeyExpired;
    case LedgerVerdict::kFull:
    case LedgerVerdict::kAlreadyClosed:
      return ErrorKind::kOverloaded;
    case LedgerVerdict::kInvalid:
      return ErrorKind::kInvalidRequest;
  }
  return ErrorKind::kInternal;
}

LedgerOpenResult Ledger::Open(const LedgerOpen& open, absl::Time now) {
  Expire(now);
  if (!IsWithinBounds(open)) {
    return {LedgerVerdict::kInvalid, {}};
  }
  const auto it = records_.find(open.key);
  if (it == records_.end()) {
    if (IsTooOld(open.key, now)) {
      return {LedgerVerdict::kKeyExpired, {}};
    }
    const auto count = records_per_account_.find(open.key.account);
    if (records_.size() >= kMaxLedgerRecords ||
        (count != records_per_account_.end() &&
         count->second >= kMaxLedgerRecordsPerAccount)) {
      return {LedgerVerdict::kFull, {}};
    }
    Insert(open.key, LedgerRecord{open.request_digest, open.request, open.vm,
                                  open.attempt, LedgerRecordState::kOpen,
                                  open.wall_micros,
                                  absl::ToUnixMicros(ExpiryOf(open.key, now)),
                                  RecordedOutcome{}});
    return {LedgerVerdict::kSend, {}};
  }
  LedgerRecord& record = it->second;
  if (record.request_digest != open.request_digest) {
    return {LedgerVerdict::kKeyReused, {}};
  }
  switch (record.state) {
    case LedgerRecordState::kClosed:
      return {LedgerVerdict::kRecorded, record.outcome};
    case LedgerRecordState::kOpen:
      return {IsSameAttempt(record, open) ? LedgerVerdict::kSend
                                          : LedgerVerdict::kUnknown,
              {}};
    case LedgerRecordState::kNotRun:
      break;
  }
  if (record.request == open.request && open.attempt <= record.attempt) {
    return {LedgerVerdict::kAlreadyClosed, {}};
  }
  record.request = open.request;
  record.vm = open.vm;
  record.attempt = open.attempt;
  record.state = LedgerRecordState::kOpen;
  record.opened_wall_micros = open.wall_micros;
  SetExpiry(it, absl::ToUnixMicros(ExpiryOf(open.key, now)));
  return {LedgerVerdict::kSend, {}};
}

LedgerCloseResult Ledger::Close(const LedgerClose& close, absl::Time now) {
  Expire(now);
  const auto it = records_.find(close.key);
  if (it == records_.end() || it->second.request != close.request ||
      it->second.attempt != close.attempt) {
    return LedgerCloseResult::kNotOpen;
  }
  LedgerRecord& record = it->second;
  if (record.state != LedgerRecordState::kOpen) {
    return LedgerCloseResult::kAlreadyClosed;
  }
  if (close.not_run) {
    record.state = LedgerRecordState::kNotRun;
  } else {
    record.state = LedgerRecordState::kClosed;
    record.outcome = close.outcome;
    if (HeaderBytes(record.outcome) > kMaxRecordedHeaderBytes ||
        record.outcome.body.size() > kMaxRecordedBodyBytes ||
        outcome_bytes_ + OutcomeBytes(record.outcome) >
            kMaxLedgerOutcomeBytes) {
      record.outcome.headers.clear();
      record.outcome.body.clear();
      record.outcome.body_stored = false;
    }
    outcome_bytes_ += OutcomeBytes(record.outcome);
  }
  if (close.key.idempotency_key.value().empty()) {
    SetExpiry(it, absl::ToUnixMicros(now + kKeylessRecordRetention));
  }
  return LedgerCloseResult::kClosed;
}

void Ledger::Expire(absl::Time now) {
  const int64_t now_micros = absl::ToUnixMicros(now);
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now_micros) {
    Erase(records_.find(by_expiry_.begin()->second));
  }
}

const LedgerRecord* Ledger::Find(const LedgerKey& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

void Ledger::Insert(LedgerKey key, LedgerRecord record) {
  ++records_per_account_[key.account];
  outcome_bytes_ += OutcomeBytes(record.outcome);
  by_expiry_.emplace(record.expires_micros, key);
  records_.emplace(std::move(key), std::move(record));
}

void Ledger::Erase(Records::iterator it) {
  const auto count = records_per_account_.find(it->first.account);
  if (--count->second == 0) {
    records_per_account_.erase(count);
  }
  outcome_bytes_ -= OutcomeBytes(it->second.outcome);
  by_expiry_.erase({it->second.expires_micros, it->first});
  records_.erase(it);
}

void Ledger::SetExpiry(Records::iterator it, int64_t expires_micros) {
  by_expiry_.erase({it->second.expires_micros, it->first});
  it->second.expires_micros = expires_micros;
  by_expiry_.emplace(expires_micros, it->first);
}

std::string Ledger::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(kSnapshotFormat);
  packer.pack_array(static_cast<uint32_t>(records_.size()));
  for (const auto& [key, record] : records_) {
    packer.pack_array(2);
    packer.pack(key);
    packer.pack(record);
  }
  return std::string(buffer.data(), buffer.size());
}

Expected<Ledger> Ledger::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto fields = handle.get().as<std::vector<msgpack::object>>();
    if (fields.size() != 2 || fields[0].as<uint32_t>() != kSnapshotFormat) {
      return Fail(ErrorKind::kDataCorrupt,
                  "ledger snapshot: expected format 1 with 2 fields");
    }
    Ledger ledger;
    for (const auto& item : fields[1].as<std::vector<msgpack::object>>()) {
      auto [key, record] = item.as<std::pair<LedgerKey, LedgerRecord>>();
      if (ledger.records_.contains(key)) {
        return Fail(ErrorKind::kDataCorrupt, "ledger snapshot: duplicate key");
      }
      ledger.Insert(std::move(key), std::move(record));
    }
    return ledger;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("ledger snapshot: ", e.what()));
  }
}

}  // namespace camphorsail
