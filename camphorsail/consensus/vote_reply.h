#ifndef CAMPHORSAIL_CONSENSUS_VOTE_REPLY_H_
#define CAMPHORSAIL_CONSENSUS_VOTE_REPLY_H_

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Reply to a `VoteRequest`.
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  /// Term of the request that this message answers.
  TermNumber request_term;

  MSGPACK_DEFINE(pre_vote, granted, request_term)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_VOTE_REPLY_H_
