#ifndef CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_
#define CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/quarantine/crash_record.h"

namespace camphorsail {

/// The ends of backend servers and the prompt parts that may have caused them,
/// as far as one process knows. An answer that begins on a part clears it of
/// all crashes until then. Copies on several processes are merged in any order
/// and any number of times: crashes and suspects accumulate, and the time of
/// the latest answer on a part only rises (a state-based CRDT, Shapiro et al.
/// 2011). The size is bounded. Not thread-safe.
class CrashEvidence {
 public:
  /// Crashes that are kept. The oldest are dropped first, and before them those
  /// without a suspect.
  static constexpr size_t kMaxCrashes = 64;
  /// Suspects of one crash. Those with the lowest hashes are kept, so that all
  /// processes keep the same ones.
  static constexpr size_t kMaxSuspects = 64;
  /// Time for which a crash is kept.
  static constexpr absl::Duration kLifetime = absl::Minutes(10);

  struct Crash {
    MonoTime at;
    /// See `CrashRecord`.
    bool is_repeated = false;
    std::set<PromptPartHash> suspects;
  };
  using Crashes = std::map<CrashId, Crash>;

  /// Adds suspects to a crash.
  /// @param is_repeated See `CrashRecord`.
  void Add(CrashId crash,
           const PromptPartHashes& suspects,
           bool is_repeated,
           MonoTime at);
  /// Clears a part of all crashes until `at`.
  void Clear(PromptPartHash part, MonoTime at);
  /// Adds what another process knows.
  void Merge(const std::vector<CrashRecord>& records, MonoTime now);
  /// Drops the crashes whose lifetime is over.
  void Expire(MonoTime now);

  /// @return Everything, for `Merge` at another process.
  std::vector<CrashRecord> Export(MonoTime now) const;
  /// @return A digest of everything but the times; 0 when there is nothing.
  uint64_t Digest() const;
  /// @return True when the part is a suspect of a crash, and was cleared in
  /// every crash of which it is.
  bool IsCleared(PromptPartHash part) const;

  /// @return True when the part is a suspect that was not cleared.
  bool Accuses(const Crash& crash, PromptPartHash part) const {
    return crash.suspects.contains(part) && !IsClearedOf(crash, part);
  }
  const Crashes& crashes() const { return crashes_; }

 private:
  bool IsClearedOf(const Crash& crash, PromptPartHash part) const;
  void LimitSize();

  Crashes crashes_;
  /// Until when each part is cleared. Kept for longer than the crashes, which
  /// may be dropped and come back from another process.
  std::map<PromptPartHash, MonoTime> cleared_until_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_
