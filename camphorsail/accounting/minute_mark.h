#ifndef CAMPHORSAIL_ACCOUNTING_MINUTE_MARK_H_
#define CAMPHORSAIL_ACCOUNTING_MINUTE_MARK_H_

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Statement by a process that all its refused minutes in a range of minutes
/// are recorded in the replicated state.
struct MinuteMark {
  VmId vm;
  /// Identifies the start of the process. A restarted process cannot make the
  /// statement for its predecessor, whose unsent records are lost.
  Incarnation incarnation;
  /// First and last minute of the range, both inclusive.
  MinuteIndex first;
  MinuteIndex last;

  friend bool operator==(const MinuteMark&, const MinuteMark&) = default;
  MSGPACK_DEFINE(vm, incarnation, first, last)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_MINUTE_MARK_H_
