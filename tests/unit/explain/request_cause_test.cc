#include "camphorsail/explain/request_cause.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "camphorsail/explain/render_story.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

/// A line at so many milliseconds.
std::string At(int ms, const std::string& vm, const std::string& rest) {
  return absl::StrFormat(
      "time=2026-12-04T00:00:%02d.%03dZ level=info vm=%s clock=%d.0 event=%s",
      ms / 1000, ms % 1000, vm, 1'000'000'000LL + ms * 1000, rest);
}

RequestStory StoryOf(std::vector<std::string> lines) {
  RequestStory story("r1");
  // The order of the files does not matter.
  std::reverse(lines.begin(), lines.end());
  for (const std::string& line : lines) {
    story.Take(line);
  }
  story.Finish();
  return story;
}

/// Expects a cause with a code, a part of its text, and an event among its
/// evidence.
void ExpectCause(const std::vector<std::string>& lines,
                 const std::string& code,
                 const std::string& part,
                 const std::string& event) {
  const RequestStory story = StoryOf(lines);
  const RequestCause cause = FindCause(story);
  EXPECT_EQ(cause.code, code) << RenderStory(story, cause, absl::Seconds(9));
  EXPECT_NE(cause.text.find(part), std::string::npos) << cause.text;
  EXPECT_TRUE(
      event.empty() ||
      std::any_of(cause.evidence.begin(), cause.evidence.end(),
                  [&](const LogLine* line) { return line->event == event; }))
      << RenderStory(story, cause, absl::Seconds(9));
}

const char kStarted[] =
    "attempt_started request=r1 route=a tries=1 server=s1 load=3 "
    "expected_ms=40";

TEST(RequestCauseTest, WithoutALine) {
  ExpectCause({At(1, "g1", "request_answered request=r2")}, "no_line",
              "no line", "");
  ExpectCause({At(1, "g1", "log_lines_dropped lines=30")}, "line_dropped",
              "30 lines", "");
}

TEST(RequestCauseTest, ServerThatWasLeaving) {
  ExpectCause({At(10, "c1", "server_leaving server=s1"), At(20, "g1", kStarted),
               At(30, "g1",
                  "attempt_failed request=r1 server=s1 tries=1 attempt_ms=10 "
                  "failure=broken next=give_up"),
               At(30, "g1", "request_refused request=r1 code=backend_failed")},
              "server_leaving", "the server was leaving", "server_leaving");
}

// Incident BUDGET: requests that end servers were refused or failed, and
// nothing named the part of the prompt.
TEST(RequestCauseTest, PartsThatEndServers) {
  ExpectCause(
      {At(1, "g1", "parts_quarantined entry=e1 part_hashes=p crashes=3"),
       At(9, "g1",
          "request_refused request=r1 route=a age_ms=0 parts=a,b "
          "crashes=3 entry=e1 code=prompt_part_quarantined")},
      "prompt_part_quarantined", "entry e1", "parts_quarantined");
  ExpectCause({At(1, "g1", "server_ended server=s1 incarnation=1 load=3"),
               At(9, "g1",
                  "request_refused request=r1 route=a age_ms=0 parts=a,b "
                  "crashes=2 part_hashes=p code=prompt_part_suspected "
                  "reason=wait")},
              "prompt_part_suspected", "part p", "server_ended");
}

TEST(RequestCauseTest, ServerThatWasLost) {
  ExpectCause({At(20, "g1", kStarted),
               At(30, "g1",
                  "attempt_failed request=r1 server=s1 tries=1 attempt_ms=10 "
                  "failure=broken next=give_up"),
               At(30, "g1", "request_refused request=r1 code=backend_failed"),
               At(900, "g2", "server_suspended server=s1 failure=broken")},
              "server_lost", "failed others too", "server_suspended");
}

TEST(RequestCauseTest, GatewayWithoutALease) {
  const std::string refused =
      At(3000, "g1", "request_refused request=r1 code=lease_expired");
  ExpectCause({At(1000, "g1", "peer_disconnected peer=c1"),
               At(2000, "g1", "lease_lost"), refused},
              "cut_off", "connections to the replicas", "lease_lost");
  ExpectCause({At(1000, "g1", "poll_unconfirmed replica=c1"),
               At(1000, "c2", "storage_failed message=full"), refused},
              "no_quorum", "could not confirm", "storage_failed");
  ExpectCause({At(2900, "g1", "gateway_started"), refused}, "starting",
              "just started", "gateway_started");
  ExpectCause({At(2000, "g2", "lease_lost"), refused}, "lease_expired",
              "stood still", "request_refused");
}

// Guards against blaming the servers for the refusals of an account that sends
// many times its usual.
TEST(RequestCauseTest, AccountAboveItsShare) {
  const std::string refused =
      "request_refused request=r1 code=overloaded account=large "
      "account_work_ms=900 account_share_ms=100 served_ratio=";
  ExpectCause({At(500, "g1", refused + "0.25 reason=late")},
              "account_above_share", "account large asked for 900 ms",
              "request_refused");
  ExpectCause({At(500, "g1", refused + "1.2 reason=late")}, "overloaded",
              "late", "request_refused");
}

TEST(RequestCauseTest, KeyThatAnOlderTableLacks) {
  const std::string refused =
      At(500, "g1",
         "request_refused request=r1 code=unauthenticated table_version=4 "
         "reason=\"unknown API key\"");
  ExpectCause({At(100, "c1", "routing_accepted version=5"), refused},
              "old_table", "5 had been accepted 400 ms before",
              "routing_accepted");
  ExpectCause({At(100, "c1", "routing_accepted version=4"),
               At(600, "c1", "routing_accepted version=5"), refused},
              "unauthenticated", "unknown API key", "request_refused");
}

TEST(RequestCauseTest, TimeThatIsOver) {
  ExpectCause({At(20, "g1", kStarted),
               At(4000, "g1",
                  "request_refused request=r1 code=backend_timeout age_ms=3980 "
                  "wait_ms=0")},
              "server_silent", "server s1 had 3 requests", "attempt_started");
  ExpectCause({At(20, "g1", kStarted),
               At(4000, "g1",
                  "request_refused request=r1 code=backend_timeout age_ms=3980 "
                  "wait_ms=100")},
              "answer_too_slow", "began after 100 ms", "attempt_started");
}

TEST(RequestCauseTest, LateAnswers) {
  const std::string answered =
      "request_answered request=r1 server=s1 status=200 objective_ms=300 "
      "load=9 ";
  ExpectCause(
      {At(20, "g1", kStarted),
       At(900, "g1", answered + "wait_ms=800 first_ms=790 expected_ms=100")},
      "late_slow_server", "took 790 ms where 100 ms", "");
  ExpectCause(
      {At(20, "g1", kStarted),
       At(900, "g1", answered + "wait_ms=800 first_ms=790 expected_ms=700")},
      "late_busy", "had 9 requests", "");
  ExpectCause(
      {At(20, "g1", kStarted),
       At(600, "g1",
          "attempt_failed request=r1 server=s2 failure=silent "
          "next=retry"),
       At(900, "g1", answered + "wait_ms=800 first_ms=90 expected_ms=90")},
      "late_after_retry", "last on server s2 (silent)", "attempt_failed");
  ExpectCause(
      {At(900, "g1", answered + "wait_ms=200 pause_ms=900 pause_limit_ms=200")},
      "paused", "paused for 900 ms", "");
  ExpectCause({At(900, "g1", answered + "wait_ms=200 age_ms=880")}, "in_time",
              "after 880 ms", "");
  ExpectCause(
      {At(900, "g1", "request_answered request=r1 status=503 server=s")},
      "server_error", "answered 503", "");
}

TEST(RequestCauseTest, ProcessesThatEnd) {
  ExpectCause({At(20, "g1", kStarted), At(50, "g2", "gateway_started"),
               At(3000, "g1", "gateway_started")},
              "process_lost", "ended without a stop", "gateway_started");
  ExpectCause({At(20, "g1", kStarted), At(3000, "g1", "daemon_stopped")},
              "process_stopped", "time to drain", "daemon_stopped");
  ExpectCause({At(20, "g1", kStarted)}, "no_end", "logs end", "");
  ExpectCause({At(10, "g1", "daemon_draining signal=15"),
               At(20, "g1", "request_refused request=r1 code=shutting_down")},
              "shutting_down", "was stopping", "daemon_draining");
}

TEST(RequestCauseTest, CallersThatLeave) {
  ExpectCause({At(20, "g1", kStarted),
               At(80, "g1", "caller_left request=r1 age_ms=60 wait_ms=0")},
              "caller_left", "had not answered yet", "attempt_started");
}

TEST(RequestCauseTest, OwnInterfaceOfADaemon) {
  ExpectCause({At(20, "v1", "request_dispatch request=r1 server=e1"),
               At(80, "v1",
                  "request_refuse request=r1 reason=overloaded "
                  "cause=overloaded message=full")},
              "overloaded", "refused the request", "request_refuse");
}

TEST(RenderStoryTest, ShowsTheLinesInOrderAndTheCauseLast) {
  const RequestStory story = StoryOf(
      {At(5, "c1", "leader_changed leader=c1 term=3"), At(20, "g1", kStarted),
       At(25, "g1", "request_answered request=r1 status=200 age_ms=5"),
       At(9000, "c1", "leader_changed leader=c2 term=4")});
  const RequestCause cause = FindCause(story);
  EXPECT_EQ(RenderStory(story, cause, absl::ZeroDuration()),
            "request r1\n"
            "       +0.0 ms  g1  attempt_started route=a tries=1 server=s1 "
            "load=3 expected_ms=40\n"
            "       +5.0 ms  g1  request_answered status=200 age_ms=5\n"
            "cause: in_time: answered in time, after 5 ms\n");
  const std::string around = RenderStory(story, cause, absl::Seconds(1));
  EXPECT_NE(around.find("~     -15.0 ms  c1  leader_changed leader=c1 term=3"),
            std::string::npos)
      << around;
  EXPECT_EQ(around.find("term=4"), std::string::npos);
  const nlohmann::json json = StoryToJson(story, cause, absl::Seconds(1));
  EXPECT_EQ(json["events"].size(), 2U);
  EXPECT_EQ(json["events"][0]["fields"]["server"], "s1");
  EXPECT_EQ(json["changes"].size(), 1U);
  EXPECT_EQ(json["cause"]["code"], "in_time");
}

}  // namespace
}  // namespace camphorsail
