#ifndef CAMPHORSAIL_QUARANTINE_QUARANTINE_CHANGE_H_
#define CAMPHORSAIL_QUARANTINE_QUARANTINE_CHANGE_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/quarantine/quarantine_entry.h"

namespace camphorsail {

enum class QuarantineAction : uint8_t {
  /// Adds an entry.
  kAdd,
  /// Takes parts out of all entries.
  kRelease,
  /// Lets one gateway try one request.
  kTrial,
};

/// A replicated change of the quarantine. Applying it again changes nothing.
struct QuarantineChange {
  /// A `QuarantineAction`.
  uint8_t action = 0;
  /// Sorted.
  PromptPartHashes parts;
  /// For `kAdd`: ends of servers on which the entry is based.
  uint32_t crashes = 0;
  /// For `kTrial`: the gateway and the start of its process.
  VmId gateway;
  uint64_t process = 0;
  /// For `kRelease`: name of the operator; empty when an answer on the parts
  /// has begun.
  std::string operator_name;

  MSGPACK_DEFINE(action, parts, crashes, gateway, process, operator_name)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_QUARANTINE_CHANGE_H_
