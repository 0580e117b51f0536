#ifndef CAMPHORSAIL_QUARANTINE_PART_QUARANTINE_H_
#define CAMPHORSAIL_QUARANTINE_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/quarantine/crash_evidence.h"
#include "camphorsail/quarantine/part_treatment.h"
#include "camphorsail/quarantine/quarantine_report.h"

namespace camphorsail {

/// Keeps requests with a prompt part that ends backend servers ("query of
/// death") from being handed from server to server. One per gateway.
///
/// Evidence: at the end of a server, the shared parts of the requests whose
/// answers had not begun are suspects of that crash, at all gateways together.
/// An answer that begins on a part clears it: sound parts are shared with
/// requests that begin elsewhere, a harmful part never begins.
///
/// Verdict: a part that was a suspect of several crashes at different moments,
/// and was not cleared at any gateway since, while other answers began. Parts
/// that were suspects of the same crashes only are judged together: requests
/// with all of them are refused. Crashes that a verdict explains count against
/// no other part.
///
/// Spread: the evidence is merged through the replicas; every gateway judges
/// by itself, and a verdict is also kept in the replicated list
/// (`QuarantineStore`), which outlives restarts and ends by a trial or by an
/// operator.
///
/// Not thread-safe; used on the event loop's thread only.
class PartQuarantine {
 public:
  /// Moments at which a part must have been a suspect for a verdict.
  static constexpr int kCrashesForVerdict = 3;
  /// Crashes closer together than this count as one moment, unless the second
  /// is a repetition: a rack or a whole service that ends at once says nothing
  /// about a part.
  static constexpr absl::Duration kSameMoment = absl::Milliseconds(200);
  /// Age from which a crash counts for a verdict. Longer than the evidence
  /// takes to all gateways and the answers that clear a suspect back, which is
  /// twice two polls and an exchange between replicas, 1.4 s, with some time
  /// for these answers to begin.
  static constexpr absl::Duration kSettleTime = absl::Milliseconds(2000);
  /// A part on which an answer began this long before a crash, or later, is not
  /// a suspect of the crash.
  static constexpr absl::Duration kSoundTime = absl::Seconds(10);
  /// Answers that must have begun at this gateway since the first crash of a
  /// part. Without them the service as a whole fails, not this part.
  static constexpr size_t kAnswersForVerdict = 5;

  /// @param vm This gateway.
  /// @param process Identifies the start of this process.
  void SetIdentity(VmId vm, uint64_t process) {
    vm_ = std::move(vm);
    process_ = process;
  }

  /// @param parts Shared parts of a request.
  /// @return How to treat the request.
  PartJudgement Judge(const PromptPartHashes& parts, MonoTime now) const;
  /// @return False when no server has ended on anything, as far as is known.
  bool HasEvidence() const {
    return !verdicts_.empty() || !evidence_.crashes().empty();
  }
  /// @return True when the part is a suspect of a crash, or has a verdict.
  bool IsSuspect(PromptPartHash part) const;
  /// @return True when no answer began recently on one of the parts.
  bool HasUnknownPart(const PromptPartHashes& parts, MonoTime now) const;

  /// An answer on the parts has begun, and its server did not end of it.
  void OnAnswerBegun(const PromptPartHashes& parts, MonoTime now);
  /// A server has ended.
  /// @param parts Shared parts of the requests that it had and whose answers
  /// had not begun.
  /// @param is_repeated See `CrashRecord`.
  void OnCrash(CrashId crash,
               const PromptPartHashes& parts,
               bool is_repeated,
               MonoTime now);
  /// A request was refused as `kQuarantined`.
  void OnRefused(QuarantineId entry, MonoTime now) { refused_[entry] = now; }
  /// Tells whether a trial may be made with a request that is quarantined, and
  /// uses it up. To be called when the request is about to be sent.
  bool TakeTrial(QuarantineId entry);

  /// Reaches the verdicts that are due. To be called every poll, and after each
  /// of the functions that change the evidence.
  void Advance(MonoTime now);
  /// @return Verdicts reached or taken from the list since the last call.
  std::vector<PartVerdict> TakeNewVerdicts() {
    return std::exchange(new_verdicts_, {});
  }
  /// @return Verdicts that have ended since the last call.
  std::vector<PartVerdict> TakeEndedVerdicts() {
    return std::exchange(ended_verdicts_, {});
  }

  /// @return What to tell the replica.
  QuarantineReport Report(MonoTime now) const;
  /// Takes what a replica tells.
  /// @param is_current True when a quorum confirmed that the replica has the
  /// current list.
  void OnUpdate(const QuarantineUpdate& update, bool is_current, MonoTime now);

  /// Number of verdicts in force.
  size_t verdicts() const { return verdicts_.size(); }
  /// Number of parts that are suspects of crashes, without a verdict.
  size_t suspects() const;

 private:
  struct Verdict {
    PromptPartHashes parts;
    int crashes = 0;
    /// True when the replicated list has it.
    bool is_listed = false;
  };
  /// The crashes that accuse a part, in the order of their times.
  using Accusers = std::vector<const CrashEvidence::Crash*>;

  /// @return Moments of the crashes.
  static int CountMoments(const Accusers& crashes);
  /// @return The crashes that accuse the part and that no verdict explains.
  Accusers UnexplainedCrashes(PromptPartHash part) const;
  bool IsExplained(const CrashEvidence::Crash& crash) const;
  /// @return True when enough answers have begun since `since`.
  bool AnswersBegan(MonoTime since) const;
  /// Reaches one verdict, if one is due.
  bool ReachVerdict(MonoTime now);
  /// Replaces a verdict on several parts when servers end on some of them
  /// without the others.
  bool NarrowVerdict();
  /// Takes parts that were cleared out of the verdicts.
  void DropSoundParts();
  /// Takes another version of the replicated list.
  void TakeList(const QuarantineUpdate& update, MonoTime now);
  void AddVerdict(Verdict verdict);
  void EndVerdict(size_t i);
  /// @return The accused parts.
  std::set<PromptPartHash> AccusedParts() const;

  VmId vm_;
  uint64_t process_ = 0;
  CrashEvidence evidence_;
  std::vector<Verdict> verdicts_;
  std::vector<PartVerdict> new_verdicts_;
  std::vector<PartVerdict> ended_verdicts_;
  /// The replicated list and its version.
  std::map<QuarantineId, QuarantineEntry> list_;
  uint64_t list_version_ = 0;
  /// Digest that the replica had last; nothing else is sent while it equals
  /// that of `evidence_`.
  uint64_t replica_digest_ = 0;
  /// When an answer last began on each part; bounded.
  absl::flat_hash_map<PromptPartHash, MonoTime> answered_at_;
  /// When the latest answers began.
  std::deque<MonoTime> answers_;
  /// Listed parts on which an answer has begun.
  std::set<PromptPartHash> sound_;
  /// When a request was last refused because of an entry.
  std::map<QuarantineId, MonoTime> refused_;
  /// Number of the latest trial of each entry that was used up.
  std::map<QuarantineId, uint32_t> used_trials_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_PART_QUARANTINE_H_
