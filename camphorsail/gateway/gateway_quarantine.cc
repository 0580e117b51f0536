#include <algorithm>
#include <utility>

#include "camphorsail/gateway/gateway.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/quarantine/request_hash.h"

// The parts of `Gateway` that keep requests which end their servers from being
// handed from server to server.
namespace camphorsail {
namespace {

/// Time after which a caller is asked to retry while another request with the
/// suspected part is on a server.
constexpr absl::Duration kRetryAfterSuspected = absl::Milliseconds(500);

/// A request that was sent again counts as the repetition of a crash when it
/// was on its server for this long. Servers that end together for another
/// reason do so within less.
constexpr absl::Duration kMinRepeatTime = absl::Milliseconds(10);
/// Servers that a request may end before it is no longer handed on.
constexpr int kMaxEndedServers = 2;

CrashId CrashIdOf(const BackendServer& server) {
  return CrashId(MixBits(server.hash ^ MixBits(server.incarnation.value())));
}

}  // namespace

void Gateway::HashRequest(Exchange* exchange) {
  if (exchange->request_hash.has_value()) {
    return;
  }
  exchange->request_hash =
      RequestHash({exchange->account, exchange->head.method,
                   exchange->head.target, exchange->request.model,
                   exchange->request.prompt_parts, exchange->body});
  exchange->causes.insert(
      std::lower_bound(exchange->causes.begin(), exchange->causes.end(),
                       *exchange->request_hash),
      *exchange->request_hash);
}

bool Gateway::PassesQuarantine(Exchange* exchange) {
  const MonoTime now = loop_->now();
  if (quarantine_.HasEvidence()) {
    HashRequest(exchange);
  }
  exchange->placement.isolated = false;
  exchange->judgement = quarantine_.Judge(exchange->causes, now);
  if (exchange->judgement.crashes >= PartQuarantine::kCrashesForVerdict) {
    // A verdict may be due.
    AdvanceQuarantine();
    exchange->judgement = quarantine_.Judge(exchange->causes, now);
  }
  const PartJudgement& judgement = exchange->judgement;
  switch (judgement.treatment) {
    case PartTreatment::kNormal:
      return true;
    case PartTreatment::kIsolated:
      // Most requests on a server that ended are sound, and come once.
      exchange->placement.isolated =
          judgement.suspect != exchange->request_hash;
      return true;
    case PartTreatment::kOneAtATime:
      if (!IsCauseOnServer(*exchange, judgement.suspect)) {
        exchange->placement.isolated = true;
        return true;
      }
      exchange->suspected_for = kRetryAfterSuspected;
      Refuse(
          exchange, ErrorKind::kPromptPartSuspected,
          "servers have ended on the request or on a part of its prompt, and "
          "another such request is on a server");
      return false;
    case PartTreatment::kUndecided:
      exchange->suspected_for = judgement.wait;
      Refuse(exchange, ErrorKind::kPromptPartSuspected,
             "several servers have ended on the request or on a part of its "
             "prompt");
      return false;
    case PartTreatment::kQuarantined:
      if (exchange->possible_runs == 0 &&
          quarantine_.TakeTrial(judgement.entry)) {
        LogEvent("quarantine_trial", LogLevel::kWarning)
            .Add("request", exchange->request.request_id)
            .Add("entry", ToHex(judgement.entry));
        exchange->placement.isolated = true;
        return true;
      }
      quarantine_.OnRefused(judgement.entry, now);
      Refuse(exchange, ErrorKind::kPromptPartQuarantined,
             "servers end on the request or on a part of its prompt");
      return false;
  }
  return true;
}

bool Gateway::MayBeHandedOn(const Exchange& exchange) const {
  return exchange.ended_servers < kMaxEndedServers &&
         quarantine_.Judge(exchange.causes, loop_->now()).treatment <
             PartTreatment::kOneAtATime;
}

bool Gateway::IsCauseOnServer(const Exchange& exchange, PromptPartHash cause) {
  for (const auto& [caller, other] : exchanges_) {
    if (other.get() == &exchange || !other->attempt.has_value()) {
      continue;
    }
    if (exchange.request_hash == cause) {
      // The other one may have been sent before any server ended.
      HashRequest(other.get());
    }
    if (std::binary_search(other->causes.begin(), other->causes.end(), cause)) {
      return true;
    }
  }
  return false;
}

bool Gateway::HoldForCrashCheck(Exchange* exchange, std::string_view failure) {
  ExchangeAttempt& attempt = *exchange->attempt;
  if (attempt.has_settled || attempt.server->wishes.is_leaving()) {
    return false;
  }
  HashRequest(exchange);
  loop_->Cancel(exchange->progress_timer);
  exchange->is_held = true;
  const bool is_repeated = exchange->judgement.crashes > 0 &&
                           loop_->now() - attempt.started_at >= kMinRepeatTime;
  held_[attempt.server.get()].push_back({exchange->caller, exchange->number,
                                         exchange->causes, is_repeated,
                                         std::string(failure)});
  crashes_.Check(attempt.server);
  return true;
}

void Gateway::OnServerChecked(const Ref<BackendServer>& server, bool ended) {
  const MonoTime now = loop_->now();
  telemetry_.OnServerChecked(*server, ended);
  std::vector<HeldRequest> held;
  if (const auto found = held_.find(server.get()); found != held_.end()) {
    held = std::move(found->second);
    held_.erase(found);
  }
  if (ended) {
    RecordFailure(server.get(), "ended", /*unreachable=*/true);
    PromptPartHashes parts;
    bool is_repeated = false;
    for (const HeldRequest& request : held) {
      is_repeated = is_repeated || request.is_repeated;
      parts.insert(parts.end(), request.parts.begin(), request.parts.end());
    }
    quarantine_.OnCrash(CrashIdOf(*server), parts, is_repeated, now);
    AdvanceQuarantine();
  }
  for (const HeldRequest& request : held) {
    const auto found = exchanges_.find(request.caller);
    if (found == exchanges_.end() ||
        found->second->number != request.exchange) {
      // The caller has left.
      continue;
    }
    Exchange* exchange = found->second.get();
    exchange->is_held = false;
    exchange->ended_servers += ended ? 1 : 0;
    RetryOrRefuse(exchange, request.failure, /*may_have_run=*/true,
                  /*timed_out=*/false);
  }
}

void Gateway::RecordSettled(Exchange* exchange) {
  if (std::exchange(exchange->attempt->has_settled, true)) {
    return;
  }
  PromptPartHashes begun = exchange->causes;
  if (exchange->request_hash.has_value() &&
      !quarantine_.IsSuspect(*exchange->request_hash)) {
    // Nothing has to be remembered of requests that come once.
    std::erase(begun, *exchange->request_hash);
  }
  quarantine_.OnAnswerBegun(begun, loop_->now());
}

void Gateway::AdvanceQuarantine() {
  quarantine_.Advance(loop_->now());
  for (const PartVerdict& verdict : quarantine_.TakeEndedVerdicts()) {
    telemetry_.OnVerdict(verdict, /*in_force=*/false);
  }
  const std::vector<PartVerdict> verdicts = quarantine_.TakeNewVerdicts();
  if (verdicts.empty()) {
    return;
  }
  for (const PartVerdict& verdict : verdicts) {
    telemetry_.OnVerdict(verdict, /*in_force=*/true);
  }
  std::vector<Exchange*> ended;
  for (const auto& [caller, owned] : exchanges_) {
    Exchange* exchange = owned.get();
    if (!exchange->attempt.has_value() || exchange->attempt->has_answer ||
        exchange->is_held) {
      continue;
    }
    HashRequest(exchange);
    const bool is_quarantined =
        std::any_of(verdicts.begin(), verdicts.end(),
                    [exchange](const PartVerdict& verdict) {
                      return ContainsAll(exchange->causes, verdict.parts);
                    });
    if (is_quarantined) {
      ended.push_back(exchange);
    }
  }
  for (Exchange* exchange : ended) {
    // Most servers drop a request whose connection closes before its answer
    // begins.
    ++exchange->possible_runs;
    EndAttempt(exchange, /*cancel=*/true);
    PassesQuarantine(exchange);
  }
}

void Gateway::OnQuarantineUpdate(const QuarantineUpdate& update,
                                 bool is_current) {
  quarantine_.OnUpdate(update, is_current, loop_->now());
  AdvanceQuarantine();
}

}  // namespace camphorsail
