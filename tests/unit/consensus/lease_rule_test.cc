#include <memory>
#include <optional>
#include <vector>

#include "camphorsail/consensus/lease_holder.h"
#include "camphorsail/consensus/replica.h"
#include "camphorsail/consensus/replica_log.h"
#include "gtest/gtest.h"
#include "tests/fakes/virtual_cluster.h"

// Tests of rules of the lease and of the log for cases that random histories
// rarely reach.
namespace camphorsail {
namespace {

constexpr uint64_t kSession = 5;

Membership Voters(uint64_t count) {
  Membership membership;
  for (uint64_t i = 1; i <= count; ++i) {
    membership.members.push_back({ReplicaId(i), VmId("vm" + std::to_string(i)),
                                  FailureDomainId(), MemberKind::kVoter});
  }
  return membership;
}

LogEntry MembershipEntry(uint64_t index, const Membership& membership) {
  return {TermNumber(1), LogIndex(index), EntryKind::kMembership, false,
          membership.Encode()};
}

/// Runs one follower, on VM `vm2`, and completes its writes at once.
class Follower {
 public:
  Follower() {
    ReplicaSettings settings;
    settings.vm = VmId("vm2");
    settings.voter_vms = {VmId("vm1"), VmId("vm2"), VmId("vm3")};
    DurableState state;
    state.replica = ReplicaId(2);
    state.is_new = true;
    replica_ = *Replica::Create(settings, state, 1, Now());
  }

  /// Delivers a message from replica `from`, which is on VM `vm<from>`.
  /// @return The last append reply that the follower sent in response.
  std::optional<AppendReply> Receive(uint64_t from,
                                     uint64_t term,
                                     ReplicaMessageBody body) {
    const ReplicaMessage message{VmId("vm" + std::to_string(from)),
                                 ReplicaId(from),
                                 VmId("vm2"),
                                 ReplicaId(2),
                                 TermNumber(term),
                                 std::move(body)};
    std::optional<AppendReply> reply;
    std::vector<ReplicaEvent> events = {MessageReceivedEvent{message}};
    while (!events.empty()) {
      std::vector<ReplicaAction> actions;
      replica_->Step(events.back(), Now(), &actions);
      events.pop_back();
      for (const ReplicaAction& action : actions) {
        if (const auto* write = std::get_if<WriteAction>(&action)) {
          events.push_back(WriteCompletedEvent{write->write_id});
        }
        const auto* send = std::get_if<SendAction>(&action);
        if (send != nullptr &&
            std::holds_alternative<AppendReply>(send->message.body)) {
          reply = std::get<AppendReply>(send->message.body);
        }
      }
    }
    return reply;
  }
  /// Delivers a lease request or confirmation from a VM without a replica.
  std::optional<AppendReply> ReceiveFromHolder(bool confirm_only,
                                               LogPosition last_position) {
    return Receive(
        9, 0,
        LeaseRequest{kSession, 1, confirm_only, LogIndex(1), last_position});
  }

 private:
  static MonoTime Now() { return MonoTime::FromNanos(1'000'000'000); }

  std::unique_ptr<Replica> replica_;
};

LogPosition Position(uint64_t term, uint64_t index) {
  return {TermNumber(term), LogIndex(index)};
}

// Guards against a confirmation of an earlier term that releases the
// acknowledgement of an entry in a later term. In between, the holder may have
// replaced its log by one without the entry. Fails when the entry's term is
// compared instead of the leader's.
TEST(LeaseRuleTest, ConfirmationOfAnEarlierTermReleasesNothing) {
  Follower follower;
  follower.Receive(
      1, 1,
      AppendRequest{
          Position(0, 0), {MembershipEntry(1, Voters(3))}, LogIndex(1), 1});
  follower.ReceiveFromHolder(/*confirm_only=*/false, Position(1, 1));
  const LogEntry settings{TermNumber(1), LogIndex(2), EntryKind::kData, true,
                          "s"};
  auto reply = follower.Receive(
      1, 1, AppendRequest{Position(1, 1), {settings}, LogIndex(1), 2});
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->stored, LogIndex(2));
  EXPECT_EQ(reply->acknowledged, LogIndex(1));

  reply = follower.ReceiveFromHolder(/*confirm_only=*/true, Position(1, 2));
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->acknowledged, LogIndex(2));

  const LogEntry no_op{TermNumber(2), LogIndex(3), EntryKind::kNoOp, false, ""};
  reply = follower.Receive(
      3, 2, AppendRequest{Position(1, 2), {no_op}, LogIndex(1), 1});
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->stored, LogIndex(3));
  EXPECT_EQ(reply->acknowledged, LogIndex(1));

  reply = follower.ReceiveFromHolder(/*confirm_only=*/true, Position(2, 3));
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->acknowledged, LogIndex(3));
}

// Guards against a lease that counts the voters of only one membership, while
// entries may be committed by the voters of another.
TEST(LeaseRuleTest, LeaseNeedsAQuorumOfBothMemberships) {
  ReplicaSettings settings;
  settings.vm = VmId("vm9");
  LeaseHolder holder(settings, ReplicaId(), kSession);
  holder.SetCommitted(LogIndex(1), Voters(2));
  const MonoTime now = MonoTime::FromNanos(1'000'000'000);
  std::vector<ReplicaMessage> messages;
  holder.Tick(now, &messages);
  const auto grant = [&](uint64_t voter, LogTail tail) {
    ReplicaMessage message;
    message.from = ReplicaId(voter);
    holder.OnGrant(message, LeaseGrant{kSession, 1, true, std::move(tail)},
                   &messages);
  };
  const LogTail committed{LogIndex(1), Position(1, 1), LogIndex(1), {}};
  const LogTail changing{LogIndex(1),
                         Position(1, 2),
                         LogIndex(1),
                         {MembershipEntry(2, Voters(3))}};
  grant(1, committed);
  EXPECT_GT(holder.ValidUntil(), now);  // N = 2: R = 1.
  grant(3, changing);
  EXPECT_GT(holder.ValidUntil(), now);  // N = 3: R = 2, and R = 1 of N = 2.

  // Voters 3 and 4 are a lease quorum of the new membership, but not of the
  // previous one.
  LeaseHolder other(settings, ReplicaId(), kSession);
  other.SetCommitted(LogIndex(1), Voters(2));
  other.Tick(now, &messages);
  for (uint64_t voter : {3, 4}) {
    ReplicaMessage message;
    message.from = ReplicaId(voter);
    other.OnGrant(message,
                  LeaseGrant{kSession, 1, true,
                             LogTail{LogIndex(1),
                                     Position(1, 2),
                                     LogIndex(1),
                                     {MembershipEntry(2, Voters(4))}}},
                  &messages);
  }
  EXPECT_EQ(other.ValidUntil(), MonoTime());
}

// Guards against a grant whose tail has missing entries but that still counts
// for the lease.
TEST(LeaseRuleTest, GrantWithAGapGivesNoLease) {
  ReplicaSettings settings;
  settings.vm = VmId("vm9");
  LeaseHolder holder(settings, ReplicaId(), kSession);
  holder.SetCommitted(LogIndex(1), Voters(1));
  std::vector<ReplicaMessage> messages;
  holder.Tick(MonoTime::FromNanos(1), &messages);
  ReplicaMessage message;
  message.from = ReplicaId(1);
  holder.OnGrant(
      message,
      LeaseGrant{kSession, 1, true,
                 LogTail{LogIndex(3), Position(1, 4), LogIndex(3), {}}},
      &messages);
  EXPECT_EQ(holder.ValidUntil(), MonoTime());
}

// Guards against a membership entry that is committed without a quorum of the
// previous membership. The new quorum may not intersect the lease quorums of
// the previous one.
TEST(LeaseRuleTest, UncommittedMembershipNeedsThePreviousQuorumToo) {
  DurableState state;
  state.entries = {MembershipEntry(1, Voters(4)),
                   MembershipEntry(2, Voters(5))};
  ReplicaLog log = *ReplicaLog::Create(&state);
  EXPECT_EQ(log.QuorumMemberships(LogIndex(1)).size(), 2U);
  EXPECT_EQ(log.QuorumMemberships(LogIndex(0)).size(), 2U);
  EXPECT_EQ(log.QuorumMemberships(LogIndex(2)).size(), 1U);
  Membership removed = Voters(4);
  removed.removed_grants_expired = true;
  log.Append(MembershipEntry(3, removed));
  EXPECT_EQ(log.QuorumMemberships(LogIndex(2)).size(), 1U);
}

// Guards against the removal of a replaced replica, without a quorum of the old
// membership, while grants that it gave may be unexpired.
TEST(LeaseRuleTest, ReplacedReplicaIsRemovedAfterItsGrantsExpired) {
  VirtualCluster cluster(VirtualClusterSettings(), /*seed=*/1);
  cluster.RunFor(absl::Seconds(5));
  const int lost = (cluster.Leader() + 1) % cluster.replicas();
  const ReplicaId old = cluster.node(lost).disk.replica;
  cluster.LoseDisk(lost);
  const int64_t end_of_old = cluster.now();
  cluster.Start(lost);
  const auto is_member = [&] {
    return cluster.node(cluster.Leader())
               .replica->CurrentMembership()
               .Find(old) != nullptr;
  };
  ASSERT_TRUE(is_member());
  while (is_member() && cluster.now() - end_of_old < 10'000'000'000) {
    cluster.RunFor(absl::Milliseconds(5));
  }
  EXPECT_FALSE(is_member());
  // The lease length minus the drift of the leader's clock.
  EXPECT_GT(cluster.now() - end_of_old, 1'950'000'000);
}

// Guards against a snapshot that discards later entries, which were
// acknowledged and may be committed.
TEST(ReplicaTest, SnapshotKeepsAcknowledgedEntriesAfterIt) {
  Follower follower;
  std::vector<LogEntry> entries = {MembershipEntry(1, Voters(3))};
  for (uint64_t i = 2; i <= 4; ++i) {
    entries.push_back(
        {TermNumber(1), LogIndex(i), EntryKind::kData, false, "d"});
  }
  auto reply = follower.Receive(
      1, 1, AppendRequest{Position(0, 0), entries, LogIndex(1), 1});
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->acknowledged, LogIndex(4));
  follower.Receive(3, 2,
                   SnapshotChunk{Position(1, 2), Voters(3), 0, 1, "s", 1});
  reply =
      follower.Receive(3, 2, AppendRequest{Position(1, 4), {}, LogIndex(2), 2});
  ASSERT_TRUE(reply.has_value());
  EXPECT_TRUE(reply->matched);
  EXPECT_EQ(reply->acknowledged, LogIndex(4));
}

}  // namespace
}  // namespace camphorsail
