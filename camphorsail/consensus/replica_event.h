#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_EVENT_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "camphorsail/base/ids.h"
#include "camphorsail/consensus/member.h"
#include "camphorsail/consensus/replica_message.h"

namespace camphorsail {

/// Time has passed. Expected every 10 to 50 ms; a longer interval only delays
/// timeouts.
struct TickEvent {};

struct MessageReceivedEvent {
  ReplicaMessage message;
};

/// The batch of the `WriteAction` with this id is durable.
struct WriteCompletedEvent {
  uint64_t write_id = 0;
};

/// Proposes an entry. Answered by `ProposalOutcomeAction`.
struct ProposeEvent {
  /// Chosen by the caller; must be unique among unanswered proposals and reads.
  uint64_t proposal_id = 0;
  std::string data;
  bool changes_settings = false;
};

enum class MembershipChange : uint8_t { kAddLearner, kPromote, kRemove };

/// Proposes to add, promote or remove one member. Answered by
/// `ProposalOutcomeAction`.
struct ProposeMembershipEvent {
  uint64_t proposal_id = 0;
  MembershipChange change = MembershipChange::kAddLearner;
  /// Only `replica` is used for `kPromote` and `kRemove`.
  Member member;
};

/// Requests an index up to which the state contains all entries that were
/// committed before this event. Answered by `ReadIndexAction`.
struct ReadIndexEvent {
  uint64_t read_id = 0;
};

/// The state machine's state after the entry at `index` was applied. Answers
/// `CreateSnapshotAction`, but may also be reported without one.
struct SnapshotCreatedEvent {
  LogIndex index;
  std::string data;
};

using ReplicaEvent = std::variant<TickEvent,
                                  MessageReceivedEvent,
                                  WriteCompletedEvent,
                                  ProposeEvent,
                                  ProposeMembershipEvent,
                                  ReadIndexEvent,
                                  SnapshotCreatedEvent>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_EVENT_H_
