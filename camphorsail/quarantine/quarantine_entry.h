#ifndef CAMPHORSAIL_QUARANTINE_QUARANTINE_ENTRY_H_
#define CAMPHORSAIL_QUARANTINE_QUARANTINE_ENTRY_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/strings/str_format.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/quarantine/prompt_part_hash.h"

namespace camphorsail {

/// Identifies a set of prompt parts. Equal on all VMs.
using QuarantineId = StrongId<struct QuarantineIdTag, uint64_t>;

/// @param parts Sorted.
inline QuarantineId QuarantineIdOf(const PromptPartHashes& parts) {
  uint64_t id = 0;
  for (const PromptPartHash part : parts) {
    id = MixBits(id ^ part.value());
  }
  return QuarantineId(id);
}

/// @return An id or hash as operators read and write it: 16 hexadecimal digits.
template <typename Tag>
std::string ToHex(const StrongId<Tag, uint64_t>& id) {
  return absl::StrFormat("%016x", id.value());
}

/// @return True when every part of `parts` is in `others`; false when there is
/// none. Both are sorted.
inline bool ContainsAll(const PromptPartHashes& others,
                        const PromptPartHashes& parts) {
  return !parts.empty() && std::includes(others.begin(), others.end(),
                                         parts.begin(), parts.end());
}

/// Prompt parts that end backend servers. Requests with all of them are
/// refused. There is more than one part when no server has ended on one of them
/// without the others.
struct QuarantineEntry {
  QuarantineId id;
  PromptPartHashes parts;
  /// Ends of servers on which the entry is based.
  uint32_t crashes = 0;
  /// Replicated time of the entry, microseconds since the Unix epoch.
  int64_t since_micros = 0;
  /// Replicated time from which one request may be tried.
  int64_t trial_at_micros = 0;
  /// Number of trials that were granted.
  uint32_t trials = 0;
  /// Gateway and start of its process that may make the latest trial.
  VmId trial_vm;
  uint64_t trial_process = 0;

  MSGPACK_DEFINE(id,
                 parts,
                 crashes,
                 since_micros,
                 trial_at_micros,
                 trials,
                 trial_vm,
                 trial_process)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_QUARANTINE_ENTRY_H_
