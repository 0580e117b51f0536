#ifndef CAMPHORSAIL_CONSENSUS_LOG_POSITION_H_
#define CAMPHORSAIL_CONSENSUS_LOG_POSITION_H_

#include <compare>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

constexpr LogIndex NextIndex(LogIndex index) {
  return LogIndex(index.value() + 1);
}
constexpr LogIndex PreviousIndex(LogIndex index) {
  return LogIndex(index.value() - 1);
}

/// Position of an entry in a log. Of two logs, the one with the higher last
/// position is more up to date (Ongaro 2014, 3.6.1).
struct LogPosition {
  TermNumber term;
  LogIndex index;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;

  MSGPACK_DEFINE(term, index)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LOG_POSITION_H_
