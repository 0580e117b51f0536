#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_MESSAGE_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_MESSAGE_H_

#include <string>
#include <string_view>
#include <variant>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/append_reply.h"
#include "camphorsail/consensus/append_request.h"
#include "camphorsail/consensus/join_reply.h"
#include "camphorsail/consensus/join_request.h"
#include "camphorsail/consensus/lease_grant.h"
#include "camphorsail/consensus/lease_request.h"
#include "camphorsail/consensus/snapshot_chunk.h"
#include "camphorsail/consensus/snapshot_reply.h"
#include "camphorsail/consensus/vote_reply.h"
#include "camphorsail/consensus/vote_request.h"

namespace camphorsail {

using ReplicaMessageBody = std::variant<VoteRequest,
                                        VoteReply,
                                        AppendRequest,
                                        AppendReply,
                                        SnapshotChunk,
                                        SnapshotReply,
                                        LeaseRequest,
                                        LeaseGrant,
                                        JoinRequest,
                                        JoinReply>;

/// A message between the replicas and lease holders of two VMs.
struct ReplicaMessage {
  VmId from_vm;
  /// Zero when the sending VM hosts no replica.
  ReplicaId from;
  VmId to_vm;
  /// Zero addresses whichever replica or lease holder the VM hosts. A replica
  /// drops messages that are addressed to another replica.
  ReplicaId to;
  /// Current term of the sender; in a pre-vote request the term of the election
  /// that would follow.
  TermNumber term;
  ReplicaMessageBody body;

  /// @return The message in MessagePack form.
  std::string Encode() const;
  /// @param bytes The result of `Encode`; malformed bytes are rejected.
  /// @return The message, or `kProtocolError`.
  static Expected<ReplicaMessage> Decode(std::string_view bytes);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_MESSAGE_H_
