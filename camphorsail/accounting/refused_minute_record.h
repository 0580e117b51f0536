#ifndef CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTE_RECORD_H_
#define CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTE_RECORD_H_

#include <cstdint>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_error_kind.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// A minute in which at least one request of an account's class was refused or
/// failed.
struct RefusedMinuteRecord {
  ClientAccountId account;
  ClassId class_id;
  MinuteIndex minute;
  /// Reason of the first refusal or failure in the minute.
  ErrorKind reason = ErrorKind::kInternal;
  /// Time of that refusal or failure by the wall clock of `vm`, microseconds
  /// since the Unix epoch.
  int64_t first_at_micros = 0;
  /// The VM on which that request was refused or failed.
  VmId vm;

  friend bool operator==(const RefusedMinuteRecord&,
                         const RefusedMinuteRecord&) = default;
  MSGPACK_DEFINE(account, class_id, minute, reason, first_at_micros, vm)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTE_RECORD_H_
