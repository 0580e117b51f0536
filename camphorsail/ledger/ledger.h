#ifndef CAMPHORSAIL_LEDGER_LEDGER_H_
#define CAMPHORSAIL_LEDGER_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/ledger/ledger_types.h"

namespace camphorsail {

/// How long the record of an idempotency key is kept, in replicated time.
/// Repeats of the key get the recorded outcome during this time.
constexpr absl::Duration kLedgerRetention = absl::Hours(24);
/// How long a closed record without an idempotency key is kept. No caller can
/// repeat such a request; the record is needed only for proposals that a VM
/// sends again.
constexpr absl::Duration kKeylessRecordRetention = absl::Minutes(10);
/// Maximum number of records. Together with `kMaxLedgerOutcomeBytes` it keeps
/// the ledger within a daemon's 256 MB: with 200,000 records and 64 MiB of
/// outcomes, a full ledger took 204 MB, and 383 MB while a snapshot was made.
constexpr size_t kMaxLedgerRecords = 100000;
/// Maximum number of records of one account, so that one account cannot fill
/// the ledger.
constexpr size_t kMaxLedgerRecordsPerAccount = kMaxLedgerRecords / 2;
/// Maximum size of all recorded bodies and headers together, in bytes.
constexpr size_t kMaxLedgerOutcomeBytes = 32 * 1024 * 1024;
/// Maximum sizes of the fields of one record, in bytes.
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxRequestDigestBytes = 64;
constexpr size_t kMaxRecordedHeaderBytes = 8 * 1024;

/// State of a record: the request may have been sent and its outcome is not
/// recorded (`kOpen`), the outcome is recorded (`kClosed`), or the latest
/// attempt ended without sending the request (`kNotRun`).
enum class LedgerRecordState : uint8_t { kOpen, kClosed, kNotRun };

/// The ledger's record of one non-idempotent request.
struct LedgerRecord {
  std::string request_digest;
  RequestId request;
  /// The only VM that may send the request.
  VmId vm;
  AttemptNumber attempt;
  LedgerRecordState state = LedgerRecordState::kOpen;
  /// Wall clock of `vm` when the record was opened, microseconds since the Unix
  /// epoch.
  int64_t opened_wall_micros = 0;
  /// Replicated time at which the record is dropped, microseconds since the
  /// Unix epoch.
  int64_t expires_micros = 0;
  RecordedOutcome outcome;

  friend bool operator==(const LedgerRecord&, const LedgerRecord&) = default;
  MSGPACK_DEFINE(request_digest,
                 request,
                 vm,
                 attempt,
                 state,
                 opened_wall_micros,
                 expires_micros,
                 outcome)
};

/// Records that ensure that a non-idempotent request runs at most once. A
/// request is sent only after its `Open` was committed with the verdict
/// `kSend`, and only by the VM in the record. When a VM is lost, its open
/// records stay open, because it is not known whether the requests ran. Owned
/// by `ControlState`; not thread-safe.
class Ledger {
 public:
  /// Opens a record, or returns the verdict that follows from the existing
  /// record of the same key.
  /// @param open The request.
  /// @param now Replicated time.
  LedgerOpenResult Open(const LedgerOpen& open, absl::Time now);

  /// Closes the open record of the same request and attempt. An outcome that
  /// exceeds the size bounds is recorded without its body and headers.
  /// @param close The request and its outcome.
  /// @param now Replicated time.
  LedgerCloseResult Close(const LedgerClose& close, absl::Time now);

  /// Drops the records whose retention has ended.
  /// @param now Replicated time.
  void Expire(absl::Time now);

  /// @return The record; null when there is none.
  const LedgerRecord* Find(const LedgerKey& key) const;

  /// @return Number of records.
  size_t size() const { return records_.size(); }
  /// @return Size of all recorded bodies and headers, in bytes.
  size_t outcome_bytes() const { return outcome_bytes_; }

  /// @return The encoded state of the ledger.
  std::string Snapshot() const;
  /// Decodes a ledger.
  /// @param bytes A result of `Snapshot`.
  /// @return The ledger; `kDataCorrupt` when `bytes` is not valid.
  static Expected<Ledger> Restore(std::string_view bytes);

  friend bool operator==(const Ledger&, const Ledger&) = default;

 private:
  using Records = std::map<LedgerKey, LedgerRecord>;

  void Insert(LedgerKey key, LedgerRecord record);
  void Erase(Records::iterator it);
  void SetExpiry(Records::iterator it, int64_t expires_micros);

  Records records_;
  /// Index of `records_` by expiry.
  std::set<std::pair<int64_t, LedgerKey>> by_expiry_;
  std::map<ClientAccountId, size_t> records_per_account_;
  size_t outcome_bytes_ = 0;
};

/// Extracts the creation time from an idempotency key. Only keys in the form of
/// a version 7 UUID (RFC 9562) contain it, in their first 48 bits.
/// @param key The caller's key.
/// @return The creation time with a precision of one millisecond; empty when
/// the key contains none.
std::optional<absl::Time> KeyCreationTime(const IdempotencyKey& key);

/// @param verdict The verdict on an `Open`.
/// @return The kind of error that the caller gets; empty for `kSend` and
/// `kRecorded`, which are not errors.
std::optional<ErrorKind> LedgerErrorKind(LedgerVerdict verdict);

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::LedgerRecordState)

#endif  // CAMPHORSAIL_LEDGER_LEDGER_H_
