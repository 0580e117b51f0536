#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_ACTION_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_ACTION_H_

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/log_entry.h"
#include "camphorsail/consensus/replica_message.h"
#include "camphorsail/consensus/snapshot.h"
#include "camphorsail/consensus/write_batch.h"

namespace camphorsail {

/// Send the message to the VM `message.to_vm`. It may be lost, delayed or
/// duplicated.
struct SendAction {
  ReplicaMessage message;
};

/// Make the batch durable, then report `WriteCompletedEvent`. At most one write
/// is outstanding at a time.
struct WriteAction {
  uint64_t write_id = 0;
  WriteBatch batch;
};

/// Apply these committed entries in order. They include no-op and membership
/// entries.
struct ApplyAction {
  std::vector<LogEntry> entries;
};

/// Replace the state machine's state by the snapshot.
struct RestoreSnapshotAction {
  std::shared_ptr<const Snapshot> snapshot;
};

/// Report the state machine's state with a `SnapshotCreatedEvent`. The action
/// is repeated until the snapshot arrives.
struct CreateSnapshotAction {};

/// Outcome of a proposal: the index of the committed entry, or one of these
/// errors. `kNotLeader`: the entry was not appended. `kOverloaded`: the limit
/// of uncommitted entries is reached, and the entry was not appended.
/// `kOutcomeUnknown`: the entry may be committed later. `kSettingsConflict`:
/// the membership change is not possible now.
struct ProposalOutcomeAction {
  uint64_t proposal_id = 0;
  Expected<LogIndex> outcome;
};

/// Outcome of a read: the index up to which entries must be applied before the
/// read is served; `kNotLeader` when this replica does not lead.
struct ReadIndexAction {
  uint64_t read_id = 0;
  Expected<LogIndex> outcome;
};

/// `Replica::ProvisionalTail` may have changed. Admission must use the new tail
/// before it admits another request.
struct ProvisionalTailChangedAction {};

using ReplicaAction = std::variant<SendAction,
                                   WriteAction,
                                   ApplyAction,
                                   RestoreSnapshotAction,
                                   CreateSnapshotAction,
                                   ProposalOutcomeAction,
                                   ReadIndexAction,
                                   ProvisionalTailChangedAction>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_ACTION_H_
