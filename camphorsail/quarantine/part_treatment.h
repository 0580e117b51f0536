#ifndef CAMPHORSAIL_QUARANTINE_PART_TREATMENT_H_
#define CAMPHORSAIL_QUARANTINE_PART_TREATMENT_H_

#include <cstdint>

#include "absl/time/time.h"
#include "camphorsail/quarantine/quarantine_entry.h"

namespace camphorsail {

/// How a gateway treats a request because of the parts of its prompt, from the
/// mildest to the strictest.
enum class PartTreatment : uint8_t {
  kNormal,
  /// Sent to the server where its harm would be smallest.
  kIsolated,
  /// The same, while no other request with the suspected part is on a server.
  kOneAtATime,
  /// Refused until it is known whether other gateways have had answers on the
  /// suspected part.
  kUndecided,
  /// Refused because the parts end servers.
  kQuarantined,
};

/// The treatment of one request, and its reason.
struct PartJudgement {
  PartTreatment treatment = PartTreatment::kNormal;
  /// The most suspected part; only unless `kNormal` or `kQuarantined`.
  PromptPartHash suspect;
  /// Ends of servers at which the part, or the entry, was.
  int crashes = 0;
  /// Time until `kUndecided` is over.
  absl::Duration wait;
  /// For `kQuarantined`: the parts that are to blame.
  QuarantineId entry;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_PART_TREATMENT_H_
