#include "camphorsail/quarantine/part_quarantine.h"

#include <algorithm>

namespace camphorsail {
namespace {

/// Parts whose answers are remembered.
constexpr size_t kMaxAnsweredParts = 8192;
/// Time for which a gateway that refused a request asks for a trial.
constexpr absl::Duration kTrialRequestTime = absl::Seconds(2);
/// Moments at which some parts of a verdict must have been suspects without
/// the others, for these to be taken out.
constexpr int kCrashesToNarrow = 2;
/// Suspicion from which requests with the part are sent one at a time.
constexpr int kCrashesForOneAtATime = 2;
/// Bounds of a report.
constexpr size_t kMaxReportedVerdicts = 16;

}  // namespace

int PartQuarantine::CountMoments(const Accusers& crashes) {
  int moments = 0;
  MonoTime latest;
  for (const CrashEvidence::Crash* crash : crashes) {
    if (moments == 0 || crash->is_repeated ||
        crash->at - latest >= kSameMoment) {
      ++moments;
      latest = crash->at;
    }
  }
  return moments;
}

bool PartQuarantine::IsExplained(const CrashEvidence::Crash& crash) const {
  return std::any_of(
      verdicts_.begin(), verdicts_.end(), [&](const Verdict& verdict) {
        return std::all_of(verdict.parts.begin(), verdict.parts.end(),
                           [&](PromptPartHash part) {
                             return evidence_.Accuses(crash, part);
                           });
      });
}

PartQuarantine::Accusers PartQuarantine::UnexplainedCrashes(
    PromptPartHash part) const {
  Accusers crashes;
  for (const auto& [id, crash] : evidence_.crashes()) {
    if (evidence_.Accuses(crash, part) && !IsExplained(crash)) {
      crashes.push_back(&crash);
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const auto* a, const auto* b) { return a->at < b->at; });
  return crashes;
}

std::set<PromptPartHash> PartQuarantine::AccusedParts() const {
  std::set<PromptPartHash> parts;
  for (const auto& [id, crash] : evidence_.crashes()) {
    for (const PromptPartHash part : crash.suspects) {
      if (evidence_.Accuses(crash, part)) {
        parts.insert(part);
      }
    }
  }
  return parts;
}

size_t PartQuarantine::suspects() const {
  const std::set<PromptPartHash> parts = AccusedParts();
  return static_cast<size_t>(
      std::count_if(parts.begin(), parts.end(), [this](PromptPartHash part) {
        return !UnexplainedCrashes(part).empty();
      }));
}

bool PartQuarantine::AnswersBegan(MonoTime since) const {
  return answers_.size() >= kAnswersForVerdict &&
         answers_[answers_.size() - kAnswersForVerdict] >= since;
}

PartJudgement PartQuarantine::Judge(const PromptPartHashes& parts,
                                    MonoTime now) const {
  PartJudgement judgement;
  for (const Verdict& verdict : verdicts_) {
    if (ContainsAll(parts, verdict.parts)) {
      judgement.treatment = PartTreatment::kQuarantined;
      judgement.entry = QuarantineIdOf(verdict.parts);
      judgement.crashes = verdict.crashes;
      return judgement;
    }
  }
  if (evidence_.crashes().empty()) {
    return judgement;
  }
  Accusers accusers;
  for (const PromptPartHash part : parts) {
    const Accusers crashes = UnexplainedCrashes(part);
    if (const int moments = CountMoments(crashes);
        moments > judgement.crashes) {
      judgement.crashes = moments;
      judgement.suspect = part;
      accusers = crashes;
    }
  }
  if (judgement.crashes == 0) {
    return judgement;
  }
  judgement.treatment = judgement.crashes < kCrashesForOneAtATime
                            ? PartTreatment::kIsolated
                            : PartTreatment::kOneAtATime;
  const absl::Duration settles_in = accusers.back()->at + kSettleTime - now;
  if (judgement.crashes >= kCrashesForVerdict &&
      settles_in > absl::ZeroDuration()) {
    judgement.treatment = PartTreatment::kUndecided;
    judgement.wait = settles_in;
  }
  return judgement;
}

bool PartQuarantine::IsSuspect(PromptPartHash part) const {
  return std::any_of(evidence_.crashes().begin(), evidence_.crashes().end(),
                     [part](const auto& item) {
                       return item.second.suspects.contains(part);
                     }) ||
         std::any_of(verdicts_.begin(), verdicts_.end(),
                     [part](const Verdict& verdict) {
                       return std::binary_search(verdict.parts.begin(),
                                                 verdict.parts.end(), part);
                     });
}

bool PartQuarantine::HasUnknownPart(const PromptPartHashes& parts,
                                    MonoTime now) const {
  return std::any_of(parts.begin(), parts.end(), [&](PromptPartHash part) {
    const auto found = answered_at_.find(part);
    return found == answered_at_.end() || now - found->second >= kSoundTime;
  });
}

void PartQuarantine::OnAnswerBegun(const PromptPartHashes& parts,
                                   MonoTime now) {
  answers_.push_back(now);
  if (answers_.size() > kAnswersForVerdict) {
    answers_.pop_front();
  }
  if (answered_at_.size() + parts.size() > kMaxAnsweredParts) {
    absl::erase_if(answered_at_, [&](const auto& item) {
      return now - item.second >= kSoundTime;
    });
    if (answered_at_.size() + parts.size() > kMaxAnsweredParts) {
      answered_at_.clear();
    }
  }
  for (const PromptPartHash part : parts) {
    answered_at_[part] = now;
    evidence_.Clear(part, now);
    for (const auto& [id, entry] : list_) {
      if (std::binary_search(entry.parts.begin(), entry.parts.end(), part)) {
        sound_.insert(part);
      }
    }
  }
  DropSoundParts();
}

void PartQuarantine::OnCrash(CrashId crash,
                             const PromptPartHashes& parts,
                             bool is_repeated,
                             MonoTime now) {
  PromptPartHashes suspects;
  std::copy_if(
      parts.begin(), parts.end(), std::back_inserter(suspects),
      [&](PromptPartHash part) { return HasUnknownPart({part}, now); });
  if (!suspects.empty()) {
    evidence_.Add(crash, suspects, is_repeated, now);
  }
}

bool PartQuarantine::TakeTrial(QuarantineId entry) {
  const auto found = list_.find(entry);
  if (found == list_.end() || found->second.trials == 0 ||
      found->second.trial_vm != vm_ ||
      found->second.trial_process != process_) {
    return false;
  }
  uint32_t& used = used_trials_[entry];
  return std::exchange(used, found->second.trials) != found->second.trials;
}

void PartQuarantine::AddVerdict(Verdict verdict) {
  new_verdicts_.push_back(
      {verdict.parts, static_cast<uint32_t>(verdict.crashes)});
  verdicts_.push_back(std::move(verdict));
}

void PartQuarantine::EndVerdict(size_t i) {
  ended_verdicts_.push_back(
      {verdicts_[i].parts, static_cast<uint32_t>(verdicts_[i].crashes)});
  verdicts_.erase(verdicts_.begin() + static_cast<std::ptrdiff_t>(i));
}

void PartQuarantine::DropSoundParts() {
  for (size_t i = 0; i < verdicts_.size();) {
    PromptPartHashes rest = verdicts_[i].parts;
    // What other gateways cleared ends a listed verdict through the list.
    std::erase_if(rest, [&](PromptPartHash part) {
      return sound_.contains(part) ||
             (!verdicts_[i].is_listed && evidence_.IsCleared(part));
    });
    if (rest.size() == verdicts_[i].parts.size()) {
      ++i;
      continue;
    }
    Verdict narrowed = verdicts_[i];
    EndVerdict(i);
    if (!rest.empty()) {
      narrowed.parts = rest;
      narrowed.is_listed = false;
      AddVerdict(std::move(narrowed));
    }
  }
}

bool PartQuarantine::NarrowVerdict() {
  for (size_t i = 0; i < verdicts_.size(); ++i) {
    const PromptPartHashes& parts = verdicts_[i].parts;
    std::map<PromptPartHashes, Accusers> by_subset;
    for (const auto& item : evidence_.crashes()) {
      const CrashEvidence::Crash& crash = item.second;
      PromptPartHashes subset;
      std::copy_if(
          parts.begin(), parts.end(), std::back_inserter(subset),
          [&](PromptPartHash part) { return evidence_.Accuses(crash, part); });
      if (!subset.empty() && subset.size() < parts.size() &&
          !IsExplained(crash)) {
        by_subset[subset].push_back(&crash);
      }
    }
    for (auto& [subset, crashes] : by_subset) {
      std::sort(crashes.begin(), crashes.end(),
                [](const auto* a, const auto* b) { return a->at < b->at; });
      const int moments = CountMoments(crashes);
      if (moments >= kCrashesToNarrow) {
        Verdict narrowed;
        narrowed.parts = subset;
        narrowed.crashes = verdicts_[i].crashes + moments;
        EndVerdict(i);
        AddVerdict(std::move(narrowed));
        return true;
      }
    }
  }
  return false;
}

bool PartQuarantine::ReachVerdict(MonoTime now) {
  Verdict best;
  Accusers best_accusers;
  for (const PromptPartHash part : AccusedParts()) {
    Accusers accusers = UnexplainedCrashes(part);
    std::erase_if(accusers, [&](const CrashEvidence::Crash* crash) {
      return now - crash->at < kSettleTime;
    });
    const int moments = CountMoments(accusers);
    if (moments < kCrashesForVerdict || !AnswersBegan(accusers.front()->at)) {
      continue;
    }
    if (moments > best.crashes ||
        (moments == best.crashes && accusers.size() > best_accusers.size())) {
      best.crashes = moments;
      best.parts = {part};
      best_accusers = accusers;
    } else if (accusers == best_accusers) {
      best.parts.push_back(part);
    }
  }
  if (best.crashes == 0) {
    return false;
  }
  AddVerdict(std::move(best));
  return true;
}

void PartQuarantine::Advance(MonoTime now) {
  evidence_.Expire(now);
  DropSoundParts();
  // Each verdict explains crashes, and so takes evidence from other parts.
  while (NarrowVerdict() || ReachVerdict(now)) {
  }
}

QuarantineReport PartQuarantine::Report(MonoTime now) const {
  QuarantineReport report;
  report.evidence_digest = evidence_.Digest();
  if (report.evidence_digest != replica_digest_) {
    report.crashes = evidence_.Export(now);
  }
  report.list_version = list_version_;
  for (const Verdict& verdict : verdicts_) {
    if (!verdict.is_listed && report.verdicts.size() < kMaxReportedVerdicts) {
      report.verdicts.push_back(
          {verdict.parts, static_cast<uint32_t>(verdict.crashes)});
    }
  }
  report.sound.assign(sound_.begin(), sound_.end());
  for (const auto& [entry, refused_at] : refused_) {
    if (list_.contains(entry) && now - refused_at < kTrialRequestTime) {
      report.trials.push_back({entry, vm_, process_});
    }
  }
  return report;
}

void PartQuarantine::OnUpdate(const QuarantineUpdate& update,
                              bool is_current,
                              MonoTime now) {
  evidence_.Merge(update.crashes, now);
  // The other gateways do not know which answers began here.
  for (const auto& [id, crash] : evidence_.crashes()) {
    for (const PromptPartHash part : crash.suspects) {
      const auto answered = answered_at_.find(part);
      if (answered != answered_at_.end() &&
          answered->second > crash.at - kSoundTime) {
        evidence_.Clear(part, std::max(answered->second, crash.at));
      }
    }
  }
  replica_digest_ = update.evidence_digest;
  if (is_current && update.list_version != list_version_) {
    TakeList(update, now);
  }
}

void PartQuarantine::TakeList(const QuarantineUpdate& update, MonoTime now) {
  if (update.list_version < list_version_) {
    // The replicas have lost the list; what is in force here is reported anew.
    for (Verdict& verdict : verdicts_) {
      verdict.is_listed = false;
    }
    list_.clear();
    list_version_ = update.list_version;
  }
  std::map<QuarantineId, QuarantineEntry> list;
  for (const QuarantineEntry& entry : update.entries) {
    list.emplace(entry.id, entry);
  }
  // Verdicts that were listed and no longer are were released. Parts that a
  // narrower entry still has are not.
  std::set<PromptPartHash> listed_parts;
  for (const auto& [id, entry] : list) {
    listed_parts.insert(entry.parts.begin(), entry.parts.end());
  }
  for (size_t i = 0; i < verdicts_.size();) {
    if (!verdicts_[i].is_listed ||
        list.contains(QuarantineIdOf(verdicts_[i].parts))) {
      ++i;
      continue;
    }
    for (const PromptPartHash part : verdicts_[i].parts) {
      if (!listed_parts.contains(part)) {
        evidence_.Clear(part, now);
      }
    }
    EndVerdict(i);
  }
  for (const auto& item : list) {
    const QuarantineEntry& entry = item.second;
    const auto known = std::find_if(
        verdicts_.begin(), verdicts_.end(),
        [&](const Verdict& verdict) { return verdict.parts == entry.parts; });
    if (known != verdicts_.end()) {
      known->is_listed = true;
      continue;
    }
    if (std::none_of(
            entry.parts.begin(), entry.parts.end(),
            [this](PromptPartHash part) { return sound_.contains(part); })) {
      AddVerdict({entry.parts, static_cast<int>(entry.crashes), true});
    }
  }
  std::erase_if(sound_, [&](PromptPartHash part) {
    return !listed_parts.contains(part);
  });
  std::erase_if(refused_,
                [&](const auto& item) { return !list.contains(item.first); });
  std::erase_if(used_trials_,
                [&](const auto& item) { return !list.contains(item.first); });
  list_ = std::move(list);
  list_version_ = update.list_version;
}

}  // namespace camphorsail
