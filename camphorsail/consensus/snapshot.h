#ifndef CAMPHORSAIL_CONSENSUS_SNAPSHOT_H_
#define CAMPHORSAIL_CONSENSUS_SNAPSHOT_H_

#include <string>

#include "camphorsail/consensus/log_position.h"
#include "camphorsail/consensus/membership.h"

namespace camphorsail {

/// The state after the entry at `last` was applied. Replaces the log up to that
/// entry.
struct Snapshot {
  LogPosition last;
  Membership membership;
  /// Opaque bytes of the replicated state machine.
  std::string data;

  MSGPACK_DEFINE(last, membership, data)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_SNAPSHOT_H_
