#ifndef CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_
#define CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/quarantine/crash_record.h"

namespace camphorsail {

/// The ends of backend servers and the prompt parts that may have caused them,
/// as far as one process knows. Copies on several processes are merged in any
/// order and any number of times: crashes and suspects only accumulate, and a
/// suspect that was cleared stays cleared for that crash (a state-based CRDT,
/// Shapiro et al. 2011). The size is bounded. Not thread-safe.
class CrashEvidence {
 public:
  /// Crashes that are kept. The oldest are dropped first, and before them those
  /// without a suspect.
  static constexpr size_t kMaxCrashes = 32;
  /// Suspects of one crash. Those with the lowest hashes are kept, so that all
  /// processes keep the same ones.
  static constexpr size_t kMaxSuspects = 32;
  /// Time for which a crash is kept.
  static constexpr absl::Duration kLifetime = absl::Minutes(10);

  struct Crash {
    MonoTime at;
    /// See `CrashRecord`.
    bool is_repeated = false;
    /// Whether each suspect was cleared.
    std::map<PromptPartHash, bool> suspects;

    /// @return True when the part is a suspect that was not cleared.
    bool Accuses(PromptPartHash part) const {
      const auto found = suspects.find(part);
      return found != suspects.end() && !found->second;
    }
  };
  using Crashes = std::map<CrashId, Crash>;

  /// Adds suspects to a crash.
  /// @param is_repeated See `CrashRecord`.
  void Add(CrashId crash,
           const PromptPartHashes& suspects,
           bool is_repeated,
           MonoTime at);
  /// Clears a part in all crashes that are known.
  void Clear(PromptPartHash part);
  /// Clears a part in one crash.
  void Clear(CrashId crash, PromptPartHash part);
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

  const Crashes& crashes() const { return crashes_; }

 private:
  void LimitSize();

  Crashes crashes_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_CRASH_EVIDENCE_H_
