#include "camphorsail/explain/request_cause.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace camphorsail {
namespace {

/// Changes within this time of a failure may be its cause. A lease lasts 4 s by
/// default, and a silent server is noticed within seconds.
constexpr int64_t kNearMicros = 6'000'000;
constexpr int64_t kEver = std::numeric_limits<int64_t>::max();
/// An attempt that takes longer than this multiple of what was expected was
/// held up by its server.
constexpr double kSlowAttempt = 2;

/// An account of whose requests a smaller part is accepted than this, relative
/// to all accounts, is refused more than others because of its share.
constexpr double kAboveShareRatio = 0.95;

constexpr std::array<std::string_view, 7> kLastEvents = {
    "request_answered", "request_refused", "caller_left",
    "request_complete", "request_refuse",  "request_caller_gone",
    "request_replay"};

std::string Ms(double milliseconds) {
  return absl::StrFormat("%.0f ms", milliseconds);
}

/// Finds the cause of one request; one function for each way to end.
class CauseFinder {
 public:
  explicit CauseFinder(const RequestStory& story) : story_(story) {}

  RequestCause Find() {
    if (story_.lines().empty()) {
      return NoLine();
    }
    for (const LogLine& line : story_.lines()) {
      if (line.event == "attempt_failed" ||
          line.event == "request_attempt_failed") {
        failed_ = &line;
      } else if (line.event == "attempt_started" ||
                 line.event == "request_dispatch") {
        started_ = &line;
      }
      if (std::find(kLastEvents.begin(), kLastEvents.end(), line.event) !=
          kLastEvents.end()) {
        last_ = &line;
      }
    }
    if (last_ == nullptr) {
      return NoEnd();
    }
    if (last_->event == "caller_left" ||
        last_->event == "request_caller_gone") {
      return CallerLeft();
    }
    if (last_->event == "request_refused" || last_->event == "request_refuse") {
      return Refused();
    }
    return Answered();
  }

 private:
  RequestCause NoLine() const {
    if (story_.dropped_lines() > 0) {
      return {"line_dropped",
              absl::StrCat("no line has this id, but ", story_.dropped_lines(),
                           " lines were left out (log_lines_dropped)"),
              {}};
    }
    return {"no_line",
            "no line has this id: the request reached none of the processes "
            "whose logs were given",
            {}};
  }

  /// The process that had the request wrote nothing about its end.
  RequestCause NoEnd() const {
    const LogLine& line = story_.lines().back();
    for (const LogLine* change :
         story_.Changes(line.vm, "", line.clock.wall_micros, kEver)) {
      if (change->event == "daemon_stopped") {
        return {"process_stopped",
                absl::StrCat(line.vm,
                             " stopped before the request was answered: its "
                             "time to drain was over"),
                {&line, change}};
      }
      if (change->event == "gateway_started" ||
          change->event == "daemon_started") {
        return {"process_lost",
                absl::StrCat(line.vm,
                             " ended without a stop while it had the request, "
                             "and started again"),
                {&line, change}};
      }
    }
    return {"no_end",
            absl::StrCat("the logs end before the request does: ", line.vm,
                         " was lost or frozen, or still has it"),
            {&line}};
  }

  RequestCause CallerLeft() const {
    const std::string age = Age();
    if (started_ == nullptr) {
      return {"caller_left",
              absl::StrCat("the caller left after ", age,
                           ", before a server was chosen"),
              {last_}};
    }
    const bool has_answer = last_->Number("wait_ms").value_or(0) > 0;
    return {"caller_left",
            absl::StrCat("the caller left after ", age, "; server ",
                         started_->Get("server"), ", expected to answer in ",
                         started_->Get("expected_ms"),
                         has_answer ? " ms, had begun to answer"
                                    : " ms, had not answered yet"),
            {started_, last_}};
  }

  RequestCause Refused() const {
    const std::string code =
        last_->Get("code").empty() ? last_->Get("cause") : last_->Get("code");
    if (code == "lease_expired" || code == "not_ready") {
      return NoLease(code);
    }
    if (code == "quorum_lost") {
      return NoQuorum();
    }
    if (code == "no_backend_server") {
      return NoServer();
    }
    if (code == "unauthenticated" || code == "not_found" ||
        code == "forbidden") {
      return NotInTable(code);
    }
    if (code == "shutting_down") {
      return {
          code,
          absl::StrCat(last_->vm, " was stopping and took no more requests"),
          With({last_}, Before("daemon_draining"))};
    }
    if (code == "prompt_part_quarantined" || code == "prompt_part_suspected" ||
        !last_->Get("entry").empty()) {
      return HarmfulPart(code);
    }
    if (failed_ != nullptr && code != "backend_timeout") {
      return ServerFailed();
    }
    if (code == "backend_timeout" || code == "deadline_unreachable") {
      return TimeOver(code);
    }
    if (code == "overloaded" &&
        last_->Number("served_ratio").value_or(1) < kAboveShareRatio) {
      return {"account_above_share",
              absl::StrCat("the service was overloaded, and account ",
                           last_->Get("account"), " asked for ",
                           last_->Get("account_work_ms"),
                           " ms of work a second where its share was ",
                           last_->Get("account_share_ms"),
                           " ms: ", last_->Get("reason")),
              With({last_}, Before("admission_changed"))};
    }
    if (code == "overloaded") {
      return {code,
              absl::StrCat("the gateway refused the request after ", Age(),
                           ": ", last_->Get("reason")),
              {last_}};
    }
    const std::string reason = last_->Get("reason").empty()
                                   ? last_->Get("message")
                                   : last_->Get("reason");
    return {code, reason, {last_}};
  }

  RequestCause NoLease(const std::string& code) const {
    std::vector<const LogLine*> evidence = Before("lease_lost");
    const auto cut =
        Concat(Before("peer_disconnected"), Before("peer_unreachable"));
    const std::vector<const LogLine*> polls = Before("poll_unconfirmed");
    if (!polls.empty()) {
      const RequestCause quorum = NoQuorum();
      return {"no_quorum",
              absl::StrCat(last_->vm,
                           " had no lease: the replicas could not confirm its "
                           "table"),
              Concat(Concat({last_}, evidence),
                     Concat({polls.back()}, quorum.evidence))};
    }
    if (!cut.empty()) {
      return {"cut_off",
              absl::StrCat(last_->vm,
                           " had no lease: its connections to the replicas "
                           "were down"),
              Concat(Concat({last_}, evidence), cut)};
    }
    const std::vector<const LogLine*> started = Before("gateway_started");
    if (!started.empty() && evidence.empty()) {
      return {"starting",
              absl::StrCat(last_->vm,
                           " had just started and had no table under a lease "
                           "yet"),
              Concat({last_}, started)};
    }
    return {code,
            absl::StrCat(last_->vm,
                         " had no lease, and its replicas did not answer its "
                         "polls: they or the process stood still"),
            Concat({last_}, evidence)};
  }

  RequestCause NoQuorum() const {
    std::vector<const LogLine*> evidence;
    for (const char* event : {"storage_failed", "gateway_polls_unconfirmed",
                              "leader_changed", "members_changed"}) {
      const auto found = Near("", event);
      if (!found.empty()) {
        evidence.push_back(found.back());
      }
    }
    return {"quorum_lost", "the replicas had no quorum", evidence};
  }

  /// Refused because servers end on a part of the prompt.
  RequestCause HarmfulPart(const std::string& code) const {
    const std::string entry = last_->Get("entry");
    std::vector<const LogLine*> evidence = {last_};
    for (const LogLine* change : Near(last_->vm, "server_ended")) {
      evidence.push_back(change);
    }
    if (entry.empty()) {
      return {code,
              absl::StrCat(last_->Get("crashes"),
                           " servers ended on requests with part ",
                           last_->Get("part_hashes"), " of the prompt (parts ",
                           last_->Get("parts"), "): ", last_->Get("reason")),
              evidence};
    }
    for (const LogLine* change : story_.Changes(last_->vm, "parts_quarantined",
                                                0, last_->clock.wall_micros)) {
      if (change->Get("entry") == entry) {
        evidence.push_back(change);
      }
    }
    return {code,
            absl::StrCat("parts ", last_->Get("parts"),
                         " of the prompt are in quarantine, entry ", entry,
                         ": ", last_->Get("crashes"), " servers ended on it"),
            evidence};
  }

  RequestCause NoServer() const {
    const auto gone = Before("server_unavailable");
    return {"no_backend_server",
            gone.empty()
                ? absl::StrCat(last_->vm, " knew no server of the service")
                : absl::StrCat(last_->vm,
                               " knew no server of the service; the "
                               "last that left the list was ",
                               gone.back()->Get("server")),
            With({last_}, gone)};
  }

  RequestCause NotInTable(const std::string& code) const {
    const double version = last_->Number("table_version").value_or(0);
    const LogLine* newer = nullptr;
    for (const LogLine* change :
         story_.Changes("", "routing_accepted", 0, last_->clock.wall_micros)) {
      if (change->Number("version").value_or(0) > version) {
        newer = change;
      }
    }
    if (newer != nullptr) {
      return {"old_table",
              absl::StrCat(last_->vm, " followed table ",
                           last_->Get("table_version"), " while ",
                           newer->Get("version"), " had been accepted ",
                           Ms(Between(*newer, *last_)), " before"),
              {last_, newer}};
    }
    return {
        code,
        absl::StrCat("the newest table, ", last_->Get("table_version"),
                     ", has no such ", code == "not_found" ? "route" : "key: ",
                     code == "not_found" ? "" : last_->Get("reason")),
        With({last_}, Near(last_->vm, "routing_in_force"))};
  }

  RequestCause ServerFailed() const {
    const std::string server = failed_->Get("server");
    const std::string failure = failed_->Get("failure").empty()
                                    ? failed_->Get("reason")
                                    : failed_->Get("failure");
    std::vector<const LogLine*> evidence = {failed_, last_};
    std::string state;
    for (const char* event : {"server_left", "server_leaving",
                              "server_unavailable", "server_suspended"}) {
      for (const LogLine* change : Near("", event)) {
        if (change->Get("server") == server) {
          evidence.push_back(change);
          state = state.empty() ? event : state;
        }
      }
    }
    const bool on_its_way_out =
        state == "server_left" || state == "server_leaving";
    std::string text = absl::StrCat(
        "attempt ", failed_->Get("tries"), " on server ", server, " failed (",
        failure, ") after ", failed_->Get("attempt_ms"), " ms");
    if (on_its_way_out) {
      absl::StrAppend(&text, "; the server was leaving");
    } else if (!state.empty()) {
      absl::StrAppend(&text, "; the server failed others too");
    }
    absl::StrAppend(&text, failed_->Get("next") == "give_up"
                               ? ", and no other attempt was allowed"
                               : ", and what followed failed too");
    const bool is_lost =
        failure == "broken" || failure == "unreachable" || failure == "silent";
    return {on_its_way_out ? "server_leaving"
            : is_lost      ? "server_lost"
                           : "server_failed",
            text, evidence};
  }

  RequestCause TimeOver(const std::string& code) const {
    if (started_ == nullptr) {
      return {code, "the time was over before a server was chosen", {last_}};
    }
    std::vector<const LogLine*> evidence = {started_, last_};
    const std::string server = started_->Get("server");
    for (const char* event : {"server_suspended", "server_unavailable"}) {
      for (const LogLine* change : Near("", event)) {
        if (change->Get("server") == server) {
          evidence.push_back(change);
        }
      }
    }
    std::string text = absl::StrCat(
        "the time was over after ", Age(), "; server ", server, " had ",
        started_->Get("load"), " requests and was expected to answer in ",
        started_->Get("expected_ms"), " ms");
    const double wait = last_->Number("wait_ms").value_or(0);
    absl::StrAppend(&text, wait > 0 ? absl::StrCat("; its answer began after ",
                                                   Ms(wait), " and did not end")
                                    : ", but never began to");
    return {wait > 0 ? "answer_too_slow" : "server_silent", text, evidence};
  }

  RequestCause Answered() const {
    const double status = last_->Number("status").value_or(0);
    if (status >= 500) {
      return {"server_error",
              absl::StrCat("server ", last_->Get("server"), " answered ",
                           last_->Get("status")),
              {last_}};
    }
    if (status >= 400) {
      return {"server_refused",
              absl::StrCat("server ", last_->Get("server"), " answered ",
                           last_->Get("status")),
              {last_}};
    }
    const double wait = last_->Number("wait_ms").value_or(0);
    const double objective = last_->Number("objective_ms").value_or(0);
    if (objective > 0 && wait > objective) {
      return Late(wait, objective);
    }
    const double pause = last_->Number("pause_ms").value_or(0);
    const double limit = last_->Number("pause_limit_ms").value_or(0);
    if (limit > 0 && pause > limit) {
      return {"paused",
              absl::StrCat("the stream paused for ", Ms(pause), " (limit ",
                           Ms(limit), ") at server ", last_->Get("server")),
              Concat(FailedAttempts(), {last_})};
    }
    return {
        "in_time", absl::StrCat("answered in time, after ", Age()), {last_}};
  }

  RequestCause Late(double wait, double objective) const {
    const double first = last_->Number("first_ms").value_or(wait);
    const double expected = last_->Number("expected_ms").value_or(0);
    const std::string late = absl::StrCat("the answer began after ", Ms(wait),
                                          " (objective ", Ms(objective), "): ");
    const std::string server = last_->Get("server");
    if (failed_ != nullptr && wait - first > first) {
      return {"late_after_retry",
              absl::StrCat(late, "attempts before took ", Ms(wait - first),
                           ", the last on server ", failed_->Get("server"),
                           " (", failed_->Get("failure"), ")"),
              Concat(FailedAttempts(), {last_})};
    }
    if (expected > 0 && first > kSlowAttempt * expected) {
      return {"late_slow_server",
              absl::StrCat(late, "server ", server, " took ", Ms(first),
                           " where ", Ms(expected), " was expected, with ",
                           last_->Get("load"), " requests"),
              {last_}};
    }
    return {"late_busy",
            absl::StrCat(late, "the best server, ", server, ", had ",
                         last_->Get("load"),
                         " requests and was expected to "
                         "take ",
                         Ms(expected)),
            {last_}};
  }

  std::string Age() const {
    const std::string age = last_->Get("age_ms");
    return absl::StrCat(age.empty() ? last_->Get("elapsed_ms") : age, " ms");
  }

  std::vector<const LogLine*> FailedAttempts() const {
    std::vector<const LogLine*> found;
    for (const LogLine& line : story_.lines()) {
      if (line.event == "attempt_failed") {
        found.push_back(&line);
      }
    }
    return found;
  }

  /// @return Changes of the process that ended the request, shortly before.
  std::vector<const LogLine*> Before(std::string_view event) const {
    return story_.Changes(last_->vm, event,
                          last_->clock.wall_micros - kNearMicros,
                          last_->clock.wall_micros);
  }
  std::vector<const LogLine*> Near(std::string_view vm,
                                   std::string_view event) const {
    return story_.Changes(
        vm, event, story_.lines().front().clock.wall_micros - kNearMicros,
        last_->clock.wall_micros + kNearMicros);
  }

  /// @return Milliseconds from one line to another.
  static double Between(const LogLine& a, const LogLine& b) {
    return static_cast<double>(b.clock.wall_micros - a.clock.wall_micros) /
           1000;
  }

  static std::vector<const LogLine*> Concat(
      std::vector<const LogLine*> a,
      const std::vector<const LogLine*>& b) {
    a.insert(a.end(), b.begin(), b.end());
    return a;
  }
  /// @return `a` with the last line of `b`.
  static std::vector<const LogLine*> With(
      std::vector<const LogLine*> a,
      const std::vector<const LogLine*>& b) {
    if (!b.empty()) {
      a.push_back(b.back());
    }
    return a;
  }

  const RequestStory& story_;
  /// The request's last failed attempt, its last attempt, and its end.
  const LogLine* failed_ = nullptr;
  const LogLine* started_ = nullptr;
  const LogLine* last_ = nullptr;
};

}  // namespace

RequestCause FindCause(const RequestStory& story) {
  return CauseFinder(story).Find();
}

}  // namespace camphorsail
