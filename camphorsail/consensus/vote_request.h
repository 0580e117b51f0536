#ifndef CAMPHORSAIL_CONSENSUS_VOTE_REQUEST_H_
#define CAMPHORSAIL_CONSENSUS_VOTE_REQUEST_H_

#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

/// Requests a vote. With `pre_vote` it asks whether the vote would be granted.
struct VoteRequest {
  bool pre_vote = false;
  /// Last position of the candidate's log.
  LogPosition last;

  MSGPACK_DEFINE(pre_vote, last)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_VOTE_REQUEST_H_
