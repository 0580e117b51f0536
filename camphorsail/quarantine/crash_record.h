#ifndef CAMPHORSAIL_QUARANTINE_CRASH_RECORD_H_
#define CAMPHORSAIL_QUARANTINE_CRASH_RECORD_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/quarantine/prompt_part_hash.h"

namespace camphorsail {

/// Identifies the end of one incarnation of a backend server. Equal on all VMs.
using CrashId = StrongId<struct CrashIdTag, uint64_t>;

/// A part of the prompts that a server had when it ended.
struct CrashSuspect {
  PromptPartHash part;
  /// True once an answer on the part has begun since, or shortly before.
  bool cleared = false;

  MSGPACK_DEFINE(part, cleared)
};

/// The end of a server, as gateways and replicas tell each other.
struct CrashRecord {
  CrashId crash;
  /// Time since the end, in milliseconds.
  uint32_t age_ms = 0;
  /// True when a request that the server had was sent some time before it
  /// ended, and because of an earlier crash. The two crashes then have no
  /// common cause outside the request.
  bool is_repeated = false;
  /// The shared parts of the requests whose answers had not begun, at all
  /// gateways.
  std::vector<CrashSuspect> suspects;

  MSGPACK_DEFINE(crash, age_ms, is_repeated, suspects)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_CRASH_RECORD_H_
