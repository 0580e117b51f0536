#include "camphorsail/control/command_submitter.h"

#include <string>
#include <vector>

#include "camphorsail/consensus/replica_settings.h"
#include "camphorsail/control/command.h"
#include "camphorsail/peer/peer_transport_settings.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr absl::Duration kResendInterval = absl::Milliseconds(300);

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

// Guards against a change that is accepted and cannot be sent to the replicas:
// all later changes would wait behind it.
TEST(CommandSubmitterTest, TooLargeCommandIsRefusedAndHoldsUpNoOther) {
  CommandSubmitter submitter(kResendInterval);
  submitter.Submit(1, std::string(kMaxCommandBytes + 1, 'x'), At(4));
  submitter.Submit(2, "small", At(4));
  const std::vector<ForwardedCommand> due =
      submitter.TakeDue(VmId("leader"), At(0));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].token, 2U);
  std::vector<CommandSubmitter::Answer> answers;
  submitter.ExpireDue(At(0), &answers);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].token, 1U);
  EXPECT_EQ(answers[0].result.error().kind, ErrorKind::kBodyTooLarge);
  EXPECT_EQ(submitter.size(), 1U);
}

TEST(CommandSubmitterTest, LargestCommandFitsIntoAMessageBetweenReplicas) {
  constexpr size_t kHeaderBytes = 64 << 10;
  EXPECT_LT(
      kMaxCommandBytes + ReplicaSettings().max_append_bytes + kHeaderBytes,
      PeerTransportSettings().max_message_bytes);
}

// Guards against a large command that the leader has to replicate again and
// again, because it is sent again before it can be committed.
TEST(CommandSubmitterTest, LargeCommandIsSentAgainLater) {
  CommandSubmitter submitter(kResendInterval);
  const VmId leader("leader");
  submitter.Submit(1, "small", At(9));
  submitter.Submit(2, std::string(8 << 20, 'x'), At(9));
  EXPECT_EQ(submitter.TakeDue(leader, At(0)).size(), 2U);
  const std::vector<ForwardedCommand> due = submitter.TakeDue(leader, At(1));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].token, 1U);
  EXPECT_EQ(submitter.TakeDue(leader, At(3)).size(), 2U);
}

}  // namespace
}  // namespace camphorsail
