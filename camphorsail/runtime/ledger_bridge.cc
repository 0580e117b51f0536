#include "camphorsail/runtime/ledger_bridge.h"

#include <string>
#include <utility>

#include "camphorsail/base/request_id_text.h"
#include "camphorsail/ledger/ledger.h"

namespace camphorsail {
namespace {

// The request path sends each recorded request at most once, so that the number
// of the attempt is always 1.
constexpr AttemptNumber kOnlyAttempt(1);

LedgerKey MakeKey(const ClientAccountId& account,
                  const IdempotencyKey& key,
                  RequestId request) {
  if (key.value() == FormatRequestId(request)) {
    return LedgerKey::ForRequest(account, request);
  }
  return LedgerKey::ForIdempotencyKey(account, key);
}

// @return The error for the caller: the kind from `LedgerErrorKind`, with a
// message.
Error VerdictError(LedgerVerdict verdict) {
  const ErrorKind kind =
      LedgerErrorKind(verdict).value_or(ErrorKind::kInternal);
  switch (verdict) {
    case LedgerVerdict::kKeyReused:
      return {kind, "the idempotency key was used for a different request"};
    case LedgerVerdict::kKeyExpired:
      return {kind, "the idempotency key is older than the retention of 24 h"};
    case LedgerVerdict::kInvalid:
      return {kind, "the idempotency key is invalid or too long"};
    case LedgerVerdict::kFull:
      return {kind, "the ledger of non-idempotent requests is full",
              absl::Minutes(1)};
    default:
      return {kind, "the ledger did not permit sending the request"};
  }
}

}  // namespace

LedgerOpen MakeLedgerOpen(const LedgerOpenAction& action,
                          const VmId& vm,
                          absl::Time wall_now) {
  LedgerOpen open;
  open.key = MakeKey(action.account, action.key, action.request);
  open.request_digest = action.digest;
  open.request = action.request;
  open.vm = vm;
  open.attempt = kOnlyAttempt;
  open.wall_micros = absl::ToUnixMicros(wall_now);
  return open;
}

std::optional<LedgerClose> MakeLedgerClose(const LedgerCloseAction& action) {
  if (action.outcome.kind == LedgerOutcome::Kind::kUnknown) {
    return std::nullopt;
  }
  LedgerClose close;
  close.key = MakeKey(action.account, action.key, action.request);
  close.request = action.request;
  close.attempt = kOnlyAttempt;
  close.not_run = action.outcome.kind == LedgerOutcome::Kind::kNotRun;
  close.outcome.http_status = action.outcome.status;
  close.outcome.headers.emplace_back("Content-Type",
                                     action.outcome.content_type);
  close.outcome.body_stored = !action.outcome.body_truncated;
  if (close.outcome.body_stored) {
    close.outcome.body = action.outcome.body;
  }
  return close;
}

LedgerAnswer MakeLedgerAnswer(const LedgerOpenAnsweredAction& action) {
  LedgerAnswer answer;
  answer.request = action.request;
  if (!action.result) {
    answer.error = action.result.error();
    return answer;
  }
  switch (action.result->verdict) {
    case LedgerVerdict::kSend:
      answer.kind = LedgerAnswer::Kind::kGranted;
      break;
    case LedgerVerdict::kUnknown:
      answer.kind = LedgerAnswer::Kind::kUnknown;
      break;
    case LedgerVerdict::kRecorded: {
      const RecordedOutcome& recorded = action.result->outcome;
      if (!recorded.body_stored) {
        // The request ran, but its answer was too long to be kept.
        answer.kind = LedgerAnswer::Kind::kUnknown;
        break;
      }
      answer.kind = LedgerAnswer::Kind::kRecorded;
      answer.outcome.status = recorded.http_status;
      answer.outcome.body = recorded.body;
      for (const auto& [name, value] : recorded.headers) {
        if (name == "Content-Type") {
          answer.outcome.content_type = value;
        }
      }
      break;
    }
    default:
      answer.error = VerdictError(action.result->verdict);
      break;
  }
  return answer;
}

}  // namespace camphorsail
