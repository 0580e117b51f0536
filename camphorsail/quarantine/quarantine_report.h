#ifndef CAMPHORSAIL_QUARANTINE_QUARANTINE_REPORT_H_
#define CAMPHORSAIL_QUARANTINE_QUARANTINE_REPORT_H_

#include <cstdint>
#include <vector>

#include "camphorsail/quarantine/crash_record.h"
#include "camphorsail/quarantine/quarantine_entry.h"

namespace camphorsail {

/// Prompt parts that a gateway holds to end servers.
struct PartVerdict {
  PromptPartHashes parts;
  /// Ends of servers on which the verdict is based.
  uint32_t crashes = 0;

  MSGPACK_DEFINE(parts, crashes)
};

/// A gateway that has refused a request because of a quarantine entry, and may
/// try the next one when a trial is due.
struct TrialRequest {
  QuarantineId entry;
  VmId gateway;
  uint64_t process = 0;

  MSGPACK_DEFINE(entry, gateway, process)
};

/// What a gateway tells its replica about harmful prompt parts, with each poll.
/// Replicas tell each other the sum for their gateways.
struct QuarantineReport {
  /// `CrashEvidence::Digest` of the sender.
  uint64_t evidence_digest = 0;
  /// The sender's evidence; empty when the receiver has the same.
  std::vector<CrashRecord> crashes;
  /// Version of the list of entries that the gateway has.
  uint64_t list_version = 0;
  /// Verdicts that are not in the list.
  std::vector<PartVerdict> verdicts;
  /// Parts of entries on which an answer has begun.
  PromptPartHashes sound;
  std::vector<TrialRequest> trials;

  MSGPACK_DEFINE(evidence_digest,
                 crashes,
                 list_version,
                 verdicts,
                 sound,
                 trials)
};

/// What a replica tells a gateway about harmful prompt parts.
struct QuarantineUpdate {
  /// `CrashEvidence::Digest` of the replica.
  uint64_t evidence_digest = 0;
  /// The replica's evidence; empty when the gateway has the same.
  std::vector<CrashRecord> crashes;
  /// Version of the replicated list.
  uint64_t list_version = 0;
  /// The list; empty when the gateway has this version.
  std::vector<QuarantineEntry> entries;

  MSGPACK_DEFINE(evidence_digest, crashes, list_version, entries)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_QUARANTINE_REPORT_H_
