#include "camphorsail/consensus/replica_message.h"

#include "camphorsail/base/random.h"
#include "camphorsail/consensus/membership.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

std::vector<ReplicaMessageBody> SampleBodies() {
  const LogEntry entry{TermNumber(3), LogIndex(8), EntryKind::kData, true,
                       std::string("\0\xff data", 7)};
  const Member member{ReplicaId(7), VmId("vm1"), FailureDomainId("d1"),
                      MemberKind::kVoter};
  const LogPosition position{TermNumber(3), LogIndex(7)};
  return {
      VoteRequest{true, position},
      VoteReply{false, true, TermNumber(3)},
      AppendRequest{position, {entry}, LogIndex(6), 12},
      AppendReply{true, LogIndex(5), LogIndex(6), LogIndex(7), 9},
      SnapshotChunk{position, Membership{{member}, false}, 4, 10, "abc", 2},
      SnapshotReply{position, 7, true, 2},
      LeaseRequest{11, 12, true, LogIndex(4), position},
      LeaseGrant{11, 12, true,
                 LogTail{LogIndex(7), entry.position(), LogIndex(7), {entry}}},
      JoinRequest{5, member},
      JoinReply{5, true, member, VmId("vm2")}};
}

ReplicaMessage Wrap(ReplicaMessageBody body) {
  return ReplicaMessage{VmId("vm1"),  ReplicaId(~0ULL), VmId("vm2"),
                        ReplicaId(2), TermNumber(4),    std::move(body)};
}

// Guards against a field that encoding or decoding omits or reorders.
TEST(ReplicaMessageTest, EveryBodyRoundTrips) {
  for (const ReplicaMessageBody& body : SampleBodies()) {
    const ReplicaMessage message = Wrap(body);
    const std::string bytes = message.Encode();
    const Expected<ReplicaMessage> decoded = ReplicaMessage::Decode(bytes);
    ASSERT_TRUE(decoded.has_value()) << decoded.error().message;
    EXPECT_EQ(decoded->body.index(), body.index());
    EXPECT_EQ(decoded->Encode(), bytes);
    EXPECT_EQ(decoded->from, message.from);
    EXPECT_EQ(decoded->to_vm, message.to_vm);
  }
}

// Guards against malformed bytes from a peer that crash the process, use
// unbounded memory or are accepted in part.
TEST(ReplicaMessageTest, DamagedBytesAreRejectedOrWellFormed) {
  Random random(7);
  for (const ReplicaMessageBody& body : SampleBodies()) {
    const std::string bytes = Wrap(body).Encode();
    for (size_t length = 0; length < bytes.size(); ++length) {
      EXPECT_FALSE(ReplicaMessage::Decode(bytes.substr(0, length)).has_value());
    }
    EXPECT_FALSE(ReplicaMessage::Decode(bytes + "x").has_value());
    for (int i = 0; i < 2000; ++i) {
      std::string damaged = bytes;
      damaged[random.Below(damaged.size())] = static_cast<char>(random.Next());
      const Expected<ReplicaMessage> decoded = ReplicaMessage::Decode(damaged);
      if (!decoded.has_value()) {
        EXPECT_EQ(decoded.error().kind, ErrorKind::kProtocolError);
      }
    }
  }
}

// Guards against entries with a missing index, which the follower would append
// with a gap.
TEST(ReplicaMessageTest, EntriesWithAGapAreRejected) {
  const LogPosition previous{TermNumber(1), LogIndex(4)};
  const LogEntry entry{TermNumber(1), LogIndex(6), EntryKind::kData, false, ""};
  EXPECT_FALSE(
      ReplicaMessage::Decode(
          Wrap(AppendRequest{previous, {entry}, LogIndex(), 0}).Encode())
          .has_value());
}

// Guards against quorums that do not intersect. All guarantees of the log and
// of the lease depend on it.
TEST(MembershipTest, LeaseAndCommitQuorumsIntersect) {
  Membership membership;
  for (uint64_t n = 1; n <= 9; ++n) {
    membership.members.push_back(
        {ReplicaId(n), VmId("vm"), FailureDomainId(), MemberKind::kVoter});
    membership.members.push_back({ReplicaId(100 + n), VmId("vm"),
                                  FailureDomainId(), MemberKind::kLearner});
    EXPECT_EQ(membership.VoterCount(), n);
    EXPECT_GT(membership.CommitQuorum() + membership.LeaseQuorum(), n);
    EXPECT_GT(2 * membership.CommitQuorum(), n);
    const Expected<Membership> decoded =
        Membership::Decode(membership.Encode());
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, membership);
  }
}

}  // namespace
}  // namespace camphorsail
