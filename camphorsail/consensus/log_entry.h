#ifndef CAMPHORSAIL_CONSENSUS_LOG_ENTRY_H_
#define CAMPHORSAIL_CONSENSUS_LOG_ENTRY_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

enum class EntryKind : uint8_t {
  /// Appended by a new leader, so that it can commit entries of earlier terms.
  kNoOp,
  /// Opaque bytes of the replicated state machine.
  kData,
  /// A `Membership` in MessagePack form.
  kMembership,
};

/// One entry of the replicated log.
struct LogEntry {
  TermNumber term;
  LogIndex index;
  EntryKind kind = EntryKind::kNoOp;
  /// True when the entry changes settings that admission control reads.
  bool changes_settings = false;
  std::string data;

  LogPosition position() const { return {term, index}; }
  /// @return True when every holder of an unexpired lease must confirm that it
  ///     has the entry before the entry may be committed. Holds for entries
  ///     that change settings, and for membership entries, because they change
  ///     the quorums of the lease.
  bool needs_lease_confirmation() const {
    return changes_settings || kind == EntryKind::kMembership;
  }

  friend bool operator==(const LogEntry&, const LogEntry&) = default;

  MSGPACK_DEFINE(term, index, kind, changes_settings, data)
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::EntryKind)

#endif  // CAMPHORSAIL_CONSENSUS_LOG_ENTRY_H_
