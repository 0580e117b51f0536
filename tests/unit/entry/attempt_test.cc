#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

#include "gtest/gtest.h"
#include "tests/unit/entry/shard_driver.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

std::string Tokens0To(int end, const std::string& id = "x") {
  std::string result;
  for (int i = 0; i < end; ++i) {
    result += ShardDriver::TokenEvent(i, id);
  }
  return result;
}

std::string ExpectedText(int end) {
  std::string result;
  for (int i = 0; i < end; ++i) {
    result += "w" + std::to_string(i) + " ";
  }
  return result;
}

// Guards against a caller that did not ask for a stream receiving the engine's
// event stream instead of one JSON answer.
TEST(AttemptTest, CompleteAnswerIsAssembledFromTheStream) {
  ShardDriver driver;
  driver.SendChat(1, false);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, Tokens0To(3));
  EXPECT_EQ(driver.StatusOf(1), 0);
  driver.ReceiveData(1, 1, ShardDriver::FinishEvent() + ShardDriver::Done());
  EXPECT_EQ(driver.StatusOf(1), 200);
  const Json answer = Json::parse(driver.CallerBytes(1));
  EXPECT_EQ(answer["choices"][0]["message"]["content"], ExpectedText(3));
  EXPECT_EQ(answer["choices"][0]["finish_reason"], "stop");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 3);
  EXPECT_EQ(driver.scheduler.token_count, Tokens(3));
}

// Guards against missing or duplicated tokens when a stream breaks at any
// point, however its bytes are split. Fails when `resume_tokens` is not sent or
// the unfinished event of a broken attempt is kept.
TEST(AttemptTest, BrokenStreamsResumeWithoutGapOrRepeat) {
  EXPECT_TRUE(rc::check([] {
    const int total = *rc::gen::inRange(1, 30);
    ShardDriver driver;
    driver.SendChat(1, true);
    uint32_t attempt = 0;
    int sent = 0;
    while (driver.EndCount(1) == 0) {
      driver.Dispatch(1, ++attempt);
      const Json body =
          Json::parse(driver.ActionsOf<StartBackendCallAction>().back().body);
      const int start = body.contains("camphorsail_resume")
                            ? body["camphorsail_resume"]["tokens"].get<int>()
                            : 0;
      RC_ASSERT(start >= sent);
      sent = start;
      if (start > 0) {
        RC_ASSERT(body["camphorsail_resume"]["text"] == ExpectedText(start));
      }
      std::string stream;
      const std::string id = "engine-" + std::to_string(attempt);
      for (int i = start; i < total; ++i) {
        stream += ShardDriver::TokenEvent(i, id);
      }
      stream += ShardDriver::FinishEvent(id) + ShardDriver::Done();
      const auto cut = *rc::gen::inRange<size_t>(0, stream.size() + 1);
      const bool whole = attempt >= 5;
      const size_t length = whole ? stream.size() : cut;
      const auto split = *rc::gen::inRange<size_t>(0, length + 1);
      driver.ReceiveStreamHeaders(1, attempt);
      driver.ReceiveData(1, attempt, stream.substr(0, split));
      driver.ReceiveData(1, attempt, stream.substr(split, length - split));
      driver.FailCall(1, attempt);
    }
    RC_ASSERT(driver.CallerText(1) == ExpectedText(total));
    const std::string bytes = driver.CallerBytes(1);
    RC_ASSERT(bytes.substr(bytes.size() - 14) == ShardDriver::Done());
    RC_ASSERT(bytes.find("\"error\"") == std::string::npos);
    RC_ASSERT(driver.EndCount(1) == 1);
  }));
}

// Guards against a change of the stream's id after a resumption, which some
// client libraries reject.
TEST(AttemptTest, ResumedStreamKeepsItsId) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(0, "first"));
  driver.FailCall(1, 1);
  driver.Dispatch(1, 2);
  driver.ReceiveStreamHeaders(1, 2);
  driver.ReceiveData(1, 2,
                     ShardDriver::TokenEvent(1, "second") +
                         ShardDriver::FinishEvent("second") +
                         ShardDriver::Done());
  EXPECT_EQ(driver.CallerBytes(1).find("second"), std::string::npos);
  EXPECT_EQ(driver.CallerText(1), ExpectedText(2));
}

// Guards against data of an earlier attempt that arrives after the next one
// started. Fails when `FindAttempt` compares the request id only.
TEST(AttemptTest, LateAnswersOfEarlierAttemptsAreIgnored) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(0));
  driver.FailCall(1, 1);
  driver.Dispatch(1, 2);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(100));
  driver.ReceiveEnd(1, 1);
  driver.FailCall(1, 1);
  // The same attempt number on an earlier start of the server.
  driver.ReceiveData(1, 2, ShardDriver::TokenEvent(200), 9);
  driver.ReceiveStreamHeaders(1, 2);
  driver.ReceiveData(1, 2,
                     ShardDriver::TokenEvent(1) + ShardDriver::FinishEvent() +
                         ShardDriver::Done());
  EXPECT_EQ(driver.CallerText(1), ExpectedText(2));
  EXPECT_EQ(driver.EndCount(1), 1);
}

// Guards against answer bytes that are sent to the wrong caller.
TEST(AttemptTest, InterleavedAnswersReachTheirOwnCallers) {
  ShardDriver driver;
  for (uint64_t id = 1; id <= 4; ++id) {
    driver.SendChat(id, true);
    driver.Dispatch(id, 1);
    driver.ReceiveStreamHeaders(id, 1);
  }
  for (int i = 0; i < 3; ++i) {
    for (uint64_t id = 4; id >= 1; --id) {
      driver.ReceiveData(
          id, 1, ShardDriver::TokenEvent(static_cast<int>(id) * 10 + i));
    }
  }
  for (uint64_t id = 1; id <= 4; ++id) {
    driver.ReceiveData(id, 1, ShardDriver::FinishEvent() + ShardDriver::Done());
    std::string expected;
    for (int i = 0; i < 3; ++i) {
      expected += "w" + std::to_string(id * 10 + i) + " ";
    }
    EXPECT_EQ(driver.CallerText(id), expected);
  }
}

// Guards against a truncated answer that looks complete to the caller.
TEST(AttemptTest, StreamThatCannotResumeEndsInAnErrorEvent) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(0));
  driver.scheduler.next_actions = {RefuseAction{
      RequestId(1), {ErrorKind::kRetryBudgetExhausted, "no retry is left"}}};
  driver.FailCall(1, 1);
  EXPECT_EQ(driver.ErrorOf(1), "stream_cut/yes");
  EXPECT_EQ(driver.CallerBytes(1).find("[DONE]"), std::string::npos);
  EXPECT_EQ(driver.EndCount(1), 1);
  const auto refusals = driver.ActionsOf<RecordRefusalAction>();
  ASSERT_EQ(refusals.size(), 1u);
  EXPECT_EQ(refusals[0].kind, ErrorKind::kStreamCut);
}

// Guards against treating a stream without `[DONE]` or without a finish reason
// as complete.
TEST(AttemptTest, EndWithoutFinishIsAFailure) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(0));
  driver.ReceiveEnd(1, 1);
  driver.Dispatch(1, 2);
  driver.ReceiveStreamHeaders(1, 2);
  driver.ReceiveData(1, 2, ShardDriver::Done());
  EXPECT_EQ(driver.EndCount(1), 0);
  ASSERT_EQ(driver.scheduler.outcomes.size(), 2u);
  EXPECT_EQ(driver.scheduler.outcomes[0].result, AttemptResult::kFailed);
  EXPECT_EQ(driver.scheduler.outcomes[1].result, AttemptResult::kFailed);
}

// Guards against an error that reports "not run" after the request was sent, or
// "unknown" when nothing was sent. Fails when `FailRequest` uses the
// error as given instead of `CorrectErrorKind`.
TEST(AttemptTest, NotRunIsReportedOnlyWhenNothingWasSent) {
  struct Case {
    bool sent;
    std::string error;
  };
  const Case cases[] = {{true, "backend_failed/unknown"},
                        {false, "no_backend_server/no"}};
  for (const Case& c : cases) {
    for (ErrorKind kind :
         {ErrorKind::kOverloaded, ErrorKind::kDeadlineUnreachable,
          ErrorKind::kNoBackendServer, ErrorKind::kBackendFailed}) {
      ShardDriver driver;
      driver.SendChat(1, true);
      driver.Dispatch(1, 1);
      driver.scheduler.next_actions = {
          RefuseAction{RequestId(1), {kind, "message"}}};
      driver.FailCall(1, 1, c.sent);
      const bool claims_not_run =
          GetErrorTraits(kind).request_was_run == RequestWasRun::kNo;
      const std::string expected =
          !c.sent && claims_not_run
              ? std::string(GetErrorTraits(kind).code) + "/no"
              : c.error;
      EXPECT_EQ(driver.ErrorOf(1), expected);
    }
  }
}

// Guards against treating a request that the engine rejected with status 503 as
// one that may have run.
TEST(AttemptTest, EngineRefusalMeansNotRun) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.Step(BackendHeadersEvent{
      {RequestId(1), AttemptNumber(1), Incarnation(1)}, 503, "text/plain"});
  driver.scheduler.next_actions = {
      RefuseAction{RequestId(1), {ErrorKind::kOverloaded, "all are full"}}};
  driver.ReceiveEnd(1, 1);
  ASSERT_EQ(driver.scheduler.outcomes.size(), 1u);
  EXPECT_EQ(driver.scheduler.outcomes[0].result, AttemptResult::kRejected);
  EXPECT_EQ(driver.ErrorOf(1), "overloaded/no");
}

// Guards against requests that never end because their engine hangs.
TEST(AttemptTest, HangingEngineTimesOut) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.Advance(absl::Seconds(11));
  driver.scheduler.next_actions = {driver.MakeDispatch(1, 2)};
  driver.Step(EntryTickEvent{});
  ASSERT_EQ(driver.ActionsOf<CancelBackendCallAction>().size(), 1u);
  ASSERT_EQ(driver.scheduler.outcomes.size(), 1u);
  EXPECT_EQ(driver.scheduler.outcomes[0].result, AttemptResult::kTimedOut);
  EXPECT_EQ(driver.ActionsOf<StartBackendCallAction>().size(), 2u);
}

// Guards against a request that waits forever because the scheduler lost it.
TEST(AttemptTest, QueuedRequestIsRefusedAfterItsDeadline) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Advance(absl::Seconds(21));
  driver.Step(EntryTickEvent{});
  EXPECT_EQ(driver.StatusOf(1), 0);
  driver.Advance(absl::Seconds(2));
  driver.Step(EntryTickEvent{});
  EXPECT_EQ(driver.ErrorOf(1), "deadline_unreachable/no");
}

// Guards against engines that keep running requests of disconnected callers,
// and against cancelling the calls of other callers.
TEST(AttemptTest, CallerGoneCancelsItsOwnCallOnly) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.SendChat(2, true);
  driver.SendChat(3, true);
  driver.Dispatch(1, 1);
  driver.Dispatch(2, 1);
  driver.Step(CallerGoneEvent{RequestId(1)});
  driver.Step(CallerGoneEvent{RequestId(3)});
  const auto cancels = driver.ActionsOf<CancelBackendCallAction>();
  ASSERT_EQ(cancels.size(), 1u);
  EXPECT_EQ(cancels[0].attempt.request, RequestId(1));
  ASSERT_EQ(driver.scheduler.outcomes.size(), 1u);
  EXPECT_EQ(driver.scheduler.outcomes[0].result, AttemptResult::kCancelled);
  // The queued request was removed from the scheduler.
  ASSERT_EQ(driver.scheduler.gone_requests.size(), 1u);
  EXPECT_EQ(driver.scheduler.gone_requests[0], RequestId(3));
  // A disconnected caller does not make the minute count as refused.
  EXPECT_TRUE(driver.ActionsOf<RecordRefusalAction>().empty());
  EXPECT_EQ(driver.shard.in_progress(), 1u);
  // A dispatch that arrives after the request has ended is ignored.
  driver.Dispatch(3, 1);
  EXPECT_EQ(driver.ActionsOf<StartBackendCallAction>().size(), 2u);
}

// Guards against unbounded memory use when a caller reads slowly, and against a
// pause that affects other streams or never ends.
TEST(AttemptTest, SlowReaderPausesOnlyItsOwnCall) {
  ShardDriver driver;
  for (uint64_t id = 1; id <= 2; ++id) {
    driver.SendChat(id, true);
    driver.Dispatch(id, 1);
    driver.ReceiveStreamHeaders(id, 1);
  }
  size_t unread = 0;
  int index = 0;
  while (driver.ActionsOf<PauseBackendCallAction>().empty()) {
    driver.ReceiveData(1, 1, ShardDriver::TokenEvent(index));
    driver.ReceiveData(2, 1, ShardDriver::TokenEvent(index++));
    driver.Step(AnswerBytesConsumedEvent{RequestId(2), 1000});
    unread = driver.CallerBytes(1).size();
    ASSERT_LT(unread, 64u * 1024);
  }
  auto pauses = driver.ActionsOf<PauseBackendCallAction>();
  ASSERT_EQ(pauses.size(), 1u);
  EXPECT_TRUE(pauses[0].paused);
  EXPECT_EQ(pauses[0].attempt.request, RequestId(1));
  // One more read of 8 KiB, already started when the call is paused, stays
  // below the bound.
  EXPECT_LE(unread + 8 * 1024, 64u * 1024);
  driver.Step(AnswerBytesConsumedEvent{RequestId(1), 8 * 1024});
  EXPECT_EQ(driver.ActionsOf<PauseBackendCallAction>().size(), 1u);
  driver.Step(AnswerBytesConsumedEvent{RequestId(1), 24 * 1024});
  pauses = driver.ActionsOf<PauseBackendCallAction>();
  ASSERT_EQ(pauses.size(), 2u);
  EXPECT_FALSE(pauses[1].paused);
}

// Guards against losing a scheduler action that is meant for another shard.
TEST(AttemptTest, ActionsForOtherShardsAreForwarded) {
  ShardDriver driver;
  driver.scheduler.next_actions = {driver.MakeDispatch(77, 1)};
  driver.SendChat(1, true);
  const auto forwarded = driver.ActionsOf<ForwardSchedulerAction>();
  ASSERT_EQ(forwarded.size(), 1u);
  EXPECT_EQ(std::get<DispatchAction>(forwarded[0].action).request,
            RequestId(77));
}

// Guards against decisions that are missing from the timeline.
TEST(AttemptTest, EveryDecisionIsOnTheTimeline) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1, ShardDriver::TokenEvent(0));
  driver.FailCall(1, 1);
  driver.Dispatch(1, 2);
  driver.ReceiveStreamHeaders(1, 2);
  driver.ReceiveData(1, 2, ShardDriver::FinishEvent() + ShardDriver::Done());
  std::string decisions;
  for (const TimelineAction& action : driver.ActionsOf<TimelineAction>()) {
    EXPECT_FALSE(action.reason.empty());
    decisions += action.decision + " ";
  }
  EXPECT_EQ(decisions,
            "schedule dispatch attempt_failed dispatch resume complete ");
}

}  // namespace
}  // namespace camphorsail
