#ifndef CAMPHORSAIL_CONSENSUS_HARD_STATE_H_
#define CAMPHORSAIL_CONSENSUS_HARD_STATE_H_

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// The state besides the log that a replica must keep across a restart.
struct HardState {
  TermNumber term;
  /// Candidate that this replica voted for in `term`; zero when it has not
  /// voted.
  ReplicaId voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;

  MSGPACK_DEFINE(term, voted_for)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_HARD_STATE_H_
