#ifndef CAMPHORSAIL_LEDGER_LEDGER_TYPES_H_
#define CAMPHORSAIL_LEDGER_LEDGER_TYPES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/ledger/ledger_key.h"

namespace camphorsail {

/// Longest response body that a record keeps, in bytes.
constexpr size_t kMaxRecordedBodyBytes = 64 * 1024;

/// Asks the ledger for permission to send a non-idempotent request once.
struct LedgerOpen {
  LedgerKey key;
  /// Digest of the request. A repeat of the key must have the same digest.
  std::string request_digest;
  RequestId request;
  /// The only VM that may send the request.
  VmId vm;
  AttemptNumber attempt;
  /// Wall clock of `vm` when the open is sent, microseconds since the Unix
  /// epoch.
  int64_t wall_micros = 0;

  MSGPACK_DEFINE(key, request_digest, request, vm, attempt, wall_micros)
};

/// The recorded answer of a completed request, sent to callers that repeat it.
struct RecordedOutcome {
  int http_status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// False when the answer exceeded a size bound of the ledger, so that body
  /// and headers were not kept.
  bool body_stored = true;

  friend bool operator==(const RecordedOutcome&,
                         const RecordedOutcome&) = default;
  MSGPACK_DEFINE(http_status, headers, body, body_stored)
};

/// Closes an open record.
struct LedgerClose {
  LedgerKey key;
  RequestId request;
  AttemptNumber attempt;
  /// True when no backend server ran the request. Another request or a later
  /// attempt may then open the key again, and `outcome` is ignored.
  bool not_run = false;
  RecordedOutcome outcome;

  MSGPACK_DEFINE(key, request, attempt, not_run, outcome)
};

/// The ledger operations of one group commit; opens are applied first.
struct LedgerBatch {
  std::vector<LedgerOpen> opens;
  std::vector<LedgerClose> closes;

  MSGPACK_DEFINE(opens, closes)
};

/// The ledger's decision on a `LedgerOpen`.
enum class LedgerVerdict : uint8_t {
  /// The VM in the record may send the request while it holds its admission
  /// lease. A `LedgerOpen` that is sent again gets the same verdict, so that a
  /// lost answer does not block the request. The VM must therefore send at most
  /// once for each pair of request and attempt.
  kSend,
  /// The request completed before; the caller gets the recorded outcome.
  kRecorded,
  /// The record is open for another request, VM or attempt, so the outcome is
  /// not known: `kOutcomeUnknown`.
  kUnknown,
  /// The key was used for a request with another digest:
  /// `kIdempotencyKeyReused`.
  kKeyReused,
  /// The key is older than `kLedgerRetention`: `kIdempotencyKeyExpired`.
  kKeyExpired,
  /// The ledger has no room for a record, so the request is not run:
  /// `kOverloaded`.
  kFull,
  /// This attempt was already closed as not run: `kOverloaded`.
  kAlreadyClosed,
  /// The key or the digest exceeds its maximum size: `kInvalidRequest`.
  kInvalid,
};

/// The ledger's answer to one `LedgerOpen`.
struct LedgerOpenResult {
  LedgerVerdict verdict = LedgerVerdict::kUnknown;
  /// Set only when `verdict` is `kRecorded`.
  RecordedOutcome outcome;

  friend bool operator==(const LedgerOpenResult&,
                         const LedgerOpenResult&) = default;
  MSGPACK_DEFINE(verdict, outcome)
};

/// The ledger's answer to one `LedgerClose`.
enum class LedgerCloseResult : uint8_t {
  /// The record is closed with the given outcome.
  kClosed,
  /// The same request and attempt was closed before; the first outcome is kept.
  kAlreadyClosed,
  /// There is no record of this request and attempt.
  kNotOpen,
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::LedgerVerdict)
MSGPACK_ADD_ENUM(camphorsail::LedgerCloseResult)

#endif  // CAMPHORSAIL_LEDGER_LEDGER_TYPES_H_
