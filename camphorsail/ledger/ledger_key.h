#ifndef CAMPHORSAIL_LEDGER_LEDGER_KEY_H_
#define CAMPHORSAIL_LEDGER_LEDGER_KEY_H_

#include <compare>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Identifies a non-idempotent request by its account and the caller's
/// idempotency key, or by its account and request id when the caller gave no
/// key.
struct LedgerKey {
  ClientAccountId account;
  /// Empty when the caller gave none.
  IdempotencyKey idempotency_key;
  /// Zero when there is an idempotency key.
  RequestId request;

  static LedgerKey ForIdempotencyKey(ClientAccountId account,
                                     IdempotencyKey key) {
    return LedgerKey{std::move(account), std::move(key), RequestId()};
  }
  static LedgerKey ForRequest(ClientAccountId account, RequestId request) {
    return LedgerKey{std::move(account), IdempotencyKey(), request};
  }

  friend auto operator<=>(const LedgerKey&, const LedgerKey&) = default;
  MSGPACK_DEFINE(account, idempotency_key, request)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LEDGER_LEDGER_KEY_H_
