#include "gtest/gtest.h"
#include "tests/unit/entry/shard_driver.h"

namespace camphorsail {
namespace {

/// Gives the account `acme` limits and this VM shares of them.
class AccountLimitsTest : public testing::Test {
 protected:
  AccountLimitsTest() { SetLimits(1000, 10'000, 1); }

  void SetLimits(double requests, double tokens, int concurrency) {
    driver_.Step(EffectiveSettingsEvent{
        ShardDriver::MakeSettings(requests, tokens, concurrency)});
  }
  /// Reports the demand and grants a share. Returns the number of reported
  /// demands.
  size_t GrantShare(LimitAmounts share) {
    const std::vector<LimitDemand> demands =
        driver_.limits.PollDemand(driver_.now);
    driver_.limits.OnGrants({{account_, ++grant_, share}}, driver_.now,
                            driver_.now);
    return demands.size();
  }
  /// Starts request 1, grants a share and lets the account's token buckets
  /// fill, so that the request is admitted.
  void AdmitFirstRequest() {
    driver_.SendChat(1, false);
    ASSERT_EQ(GrantShare({1000, 10'000, 1}), 1U);
    driver_.Advance(absl::Milliseconds(400));
    driver_.Step(EntryTickEvent{});
    ASSERT_EQ(driver_.limits.InProgress(account_), 1);
  }
  /// Checks that exactly one request is admitted under the concurrency limit of
  /// 1.
  void ExpectOneFreeSlot() {
    EXPECT_EQ(driver_.limits.InProgress(account_), 0);
    driver_.SendChat(100, false);
    driver_.SendChat(101, false);
    EXPECT_EQ(driver_.StatusOf(100), 0);
    EXPECT_EQ(driver_.ErrorOf(101), "account_limit_exceeded/no");
  }

  const ClientAccountId account_{"acme"};
  uint64_t grant_ = 0;
  ShardDriver driver_;
};

// Guards against a request that runs above the account's concurrency, and
// against a refusal without a time to retry.
TEST_F(AccountLimitsTest, RefusesAboveTheConcurrency) {
  AdmitFirstRequest();
  driver_.SendChat(2, false);
  EXPECT_EQ(driver_.StatusOf(2), 429);
  EXPECT_EQ(driver_.ErrorOf(2), "account_limit_exceeded/no");
  EXPECT_EQ(driver_.scheduler.arrivals.size(), 1U);
  const auto headers = driver_.ActionsOf<SendHeadersAction>();
  ASSERT_EQ(headers.size(), 1U);
  EXPECT_EQ(headers[0].retry_after, absl::Seconds(1));
  ASSERT_EQ(driver_.ActionsOf<RecordRefusalAction>().size(), 1U);
}

// Guards against a leak of the concurrency slot when an answer completes.
TEST_F(AccountLimitsTest, CompletedAnswersRelease) {
  AdmitFirstRequest();
  driver_.Dispatch(1, 1);
  driver_.ReceiveStreamHeaders(1, 1);
  driver_.ReceiveData(1, 1, ShardDriver::TokenEvent(0));
  driver_.ReceiveData(1, 1, ShardDriver::FinishEvent() + ShardDriver::Done());
  EXPECT_EQ(driver_.StatusOf(1), 200);
  ExpectOneFreeSlot();
}

// Guards against a leak of the concurrency slot when the caller disconnects
// while queued or during the answer, and against a second release by later
// events.
TEST_F(AccountLimitsTest, DisconnectedCallersReleaseOnce) {
  AdmitFirstRequest();
  driver_.Step(CallerGoneEvent{RequestId(1)});
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
  driver_.SendChat(2, true);
  driver_.Dispatch(2, 1);
  driver_.ReceiveStreamHeaders(2, 1);
  driver_.Step(CallerGoneEvent{RequestId(2)});
  driver_.Step(CallerGoneEvent{RequestId(2)});
  driver_.FailCall(2, 1);
  driver_.ReceiveEnd(2, 1);
  ExpectOneFreeSlot();
}

// Guards against a leak of the concurrency slot when the scheduler refuses or
// loses the request.
TEST_F(AccountLimitsTest, RefusedAndLateRequestsRelease) {
  AdmitFirstRequest();
  driver_.Step(SchedulerActionEvent{
      RefuseAction{RequestId(1), {ErrorKind::kOverloaded, "full"}}});
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
  driver_.SendChat(2, false);
  EXPECT_EQ(driver_.limits.InProgress(account_), 1);
  driver_.Advance(absl::Seconds(23));
  driver_.Step(EntryTickEvent{});
  EXPECT_EQ(driver_.ErrorOf(2), "deadline_unreachable/no");
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
}

// Guards against a leak of the concurrency slot when a call fails after it may
// have run, and against a release between two attempts of one request.
TEST_F(AccountLimitsTest, BrokenCallsReleaseAtTheEndOfTheRequest) {
  AdmitFirstRequest();
  driver_.Dispatch(1, 1);
  driver_.FailCall(1, 1);
  EXPECT_EQ(driver_.limits.InProgress(account_), 1);
  driver_.Step(SchedulerActionEvent{
      RefuseAction{RequestId(1), {ErrorKind::kBackendFailed, "broken"}}});
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
  driver_.SendChat(2, false, "booking", "key");
  EXPECT_EQ(driver_.limits.InProgress(account_), 1);
  driver_.GrantLedgerOpen(2);
  driver_.Dispatch(2, 1);
  driver_.FailCall(2, 1);
  EXPECT_EQ(driver_.ErrorOf(2), "outcome_unknown/unknown");
  ExpectOneFreeSlot();
}

// Guards against a leak of the concurrency slot while the ledger has not
// answered: the slot is held until it answers, even when the caller disconnects
// before.
TEST_F(AccountLimitsTest, LedgerAnswersRelease) {
  AdmitFirstRequest();
  driver_.Step(CallerGoneEvent{RequestId(1)});
  driver_.SendChat(2, false, "booking", "key");
  driver_.Step(CallerGoneEvent{RequestId(2)});
  EXPECT_EQ(driver_.limits.InProgress(account_), 1);
  driver_.GrantLedgerOpen(2);
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
  LedgerAnswer unknown;
  unknown.request = RequestId(3);
  unknown.kind = LedgerAnswer::Kind::kUnknown;
  driver_.SendChat(3, false, "booking", "key");
  driver_.Step(unknown);
  ExpectOneFreeSlot();
}

// Guards against refusing an account's first requests on a VM before its share
// has arrived, and against waiting for the share forever.
TEST_F(AccountLimitsTest, FirstRequestsWaitOneDemandInterval) {
  driver_.SendChat(1, false);
  EXPECT_EQ(driver_.StatusOf(1), 0);
  EXPECT_TRUE(driver_.scheduler.arrivals.empty());
  // The report is due at once.
  EXPECT_EQ(driver_.limits.PollDemand(driver_.now).size(), 1U);
  EXPECT_TRUE(driver_.limits.PollDemand(driver_.now).empty());
  driver_.Advance(kLimitDemandInterval - absl::Milliseconds(1));
  driver_.Step(EntryTickEvent{});
  EXPECT_EQ(driver_.StatusOf(1), 0);
  driver_.Advance(absl::Milliseconds(1));
  driver_.Step(EntryTickEvent{});
  EXPECT_EQ(driver_.ErrorOf(1), "account_limit_exceeded/no");
  // Later ones are refused at once.
  driver_.SendChat(2, false);
  EXPECT_EQ(driver_.StatusOf(2), 429);
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
}

// Guards against starting a request whose admission lease ended, or whose
// caller disconnected, while it waited for a share.
TEST_F(AccountLimitsTest, WaitingRequestsAreCheckedAgain) {
  driver_.SendChat(1, false);
  driver_.SendChat(2, false);
  driver_.Step(CallerGoneEvent{RequestId(1)});
  driver_.Step(LeaseEvent{driver_.now});
  GrantShare({1000, 10'000, 5});
  driver_.Advance(absl::Milliseconds(100));
  driver_.Step(EntryTickEvent{});
  EXPECT_EQ(driver_.ErrorOf(2), "lease_expired/no");
  EXPECT_TRUE(driver_.scheduler.arrivals.empty());
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
}

// Guards against output tokens above the limit: after a long answer no request
// is admitted until the token bucket has recovered, and `Retry-After` states
// when.
TEST_F(AccountLimitsTest, OutputTokensAreCharged) {
  driver_.SendChat(1, true);
  GrantShare({1000, 2, 5});
  driver_.Advance(absl::Milliseconds(100));
  driver_.Step(EntryTickEvent{});
  driver_.Dispatch(1, 1);
  driver_.ReceiveStreamHeaders(1, 1);
  for (int i = 0; i < 8; ++i) {
    driver_.ReceiveData(1, 1, ShardDriver::TokenEvent(i));
  }
  driver_.ReceiveData(1, 1, ShardDriver::FinishEvent() + ShardDriver::Done());
  driver_.Advance(kLimitDemandInterval);
  driver_.SendChat(2, false);
  ASSERT_EQ(driver_.ErrorOf(2), "account_limit_exceeded/no");
  const absl::Duration retry =
      driver_.ActionsOf<SendHeadersAction>()[1].retry_after;
  EXPECT_GE(retry, absl::Seconds(3));
  driver_.Advance(retry);
  GrantShare({1000, 2, 5});
  driver_.SendChat(3, false);
  EXPECT_EQ(driver_.StatusOf(3), 0);
  // The demand for tokens reaches the leader.
  EXPECT_EQ(driver_.limits.InProgress(account_), 1);
}

// Guards against tokens that are not charged when the engine sends one JSON
// answer instead of a stream.
TEST_F(AccountLimitsTest, UnstreamedAnswersAreCharged) {
  driver_.SendHeaders(1, "/v1/chat/completions");
  driver_.SendBody(1, R"({"n":2,"messages":[{"role":"user","content":"p"}]})");
  GrantShare({1000, 2, 5});
  driver_.Advance(absl::Milliseconds(100));
  driver_.Step(EntryTickEvent{});
  driver_.Dispatch(1, 1);
  driver_.Step(
      BackendHeadersEvent{{RequestId(1), AttemptNumber(1), Incarnation(1)},
                          200,
                          "application/json"});
  driver_.ReceiveData(1, 1, R"({"usage":{"completion_tokens":8}})");
  driver_.ReceiveEnd(1, 1);
  ASSERT_EQ(driver_.StatusOf(1), 200);
  driver_.Advance(kLimitDemandInterval);
  driver_.SendChat(2, false);
  EXPECT_EQ(driver_.ErrorOf(2), "account_limit_exceeded/no");
}

// Guards against demand reports and refusals for accounts without limits.
TEST_F(AccountLimitsTest, UnlimitedAccountsAreNotCounted) {
  SetLimits(0, 0, 0);
  driver_.SendChat(1, false);
  EXPECT_EQ(driver_.scheduler.arrivals.size(), 1U);
  EXPECT_TRUE(driver_.limits.PollDemand(driver_.now).empty());
  // A request that started before the limit was set is not counted when it
  // ends.
  SetLimits(1, 1, 1);
  driver_.Step(CallerGoneEvent{RequestId(1)});
  EXPECT_EQ(driver_.limits.InProgress(account_), 0);
}

}  // namespace
}  // namespace camphorsail
