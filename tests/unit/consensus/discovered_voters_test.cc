#include <algorithm>

#include "gtest/gtest.h"
#include "tests/fakes/virtual_cluster.h"

// Tests of groups whose voters are not listed in the settings: some VMs
// bootstrap the group, others join it, and the leader maintains a target number
// of voters.
namespace camphorsail {
namespace {

VirtualClusterSettings Settings(int replicas, int founders, size_t voters) {
  VirtualClusterSettings settings;
  settings.replicas = replicas;
  settings.founders = founders;
  settings.observers = 0;
  settings.replica.target_voters = voters;
  settings.replica.admission_lease = false;
  return settings;
}

Membership LatestMembership(VirtualCluster* cluster) {
  const int leader = cluster->Leader();
  return leader < 0 ? Membership()
                    : cluster->node(leader).replica->CurrentMembership();
}

bool IsVoter(VirtualCluster* cluster, int node) {
  const Membership membership = LatestMembership(cluster);
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [&](const Member& member) {
                       return member.vm == cluster->node(node).vm &&
                              member.kind == MemberKind::kVoter;
                     });
}

bool Commits(VirtualCluster* cluster) {
  const int leader = cluster->Leader();
  if (leader < 0) {
    return false;
  }
  const uint64_t id = cluster->Propose(leader, "x", true);
  cluster->RunFor(absl::Seconds(1));
  return cluster->outcomes.contains(id) &&
         cluster->outcomes[id].index.has_value();
}

// Guards against a leader that only promotes the replicas that bootstrapped the
// group. The group of three would have no quorum after the second loss.
TEST(DiscoveredVotersTest, JoiningReplicasBecomeVotersUpToTheTarget) {
  VirtualCluster cluster(Settings(6, 3, 5), 1);
  cluster.RunFor(absl::Seconds(10));
  EXPECT_EQ(LatestMembership(&cluster).VoterCount(), 5U);
  EXPECT_EQ(LatestMembership(&cluster).members.size(), 6U);
  const int leader = cluster.Leader();
  // Nothing restarts the two replicas.
  cluster.LoseDisk(leader);
  cluster.LoseDisk(leader == 0 ? 1 : 0);
  cluster.RunFor(absl::Seconds(5));
  EXPECT_TRUE(Commits(&cluster));
}

// Guards against a leader that keeps dead voters although a learner is ready,
// so that the next loss stops the group.
TEST(DiscoveredVotersTest, LearnerReplacesUnreachableVoter) {
  VirtualCluster cluster(Settings(4, 3, 3), 2);
  cluster.RunFor(absl::Seconds(6));
  ASSERT_EQ(LatestMembership(&cluster).VoterCount(), 3U);
  ASSERT_FALSE(IsVoter(&cluster, 3));
  const int first = cluster.Leader() == 0 ? 1 : 0;
  cluster.LoseDisk(first);
  cluster.RunFor(absl::Seconds(10));
  EXPECT_TRUE(IsVoter(&cluster, 3));
  EXPECT_FALSE(IsVoter(&cluster, first));
  const int second = cluster.Leader() == 2 ? 1 - first : 2;
  cluster.LoseDisk(second);
  cluster.RunFor(absl::Seconds(5));
  EXPECT_TRUE(Commits(&cluster));
}

// Guards against a replica that never joins again because it still regards
// itself as a voter, after the group replaced it while it was disconnected.
TEST(DiscoveredVotersTest, ReplacedVoterJoinsAgain) {
  VirtualCluster cluster(Settings(4, 3, 3), 3);
  cluster.RunFor(absl::Seconds(6));
  const int disconnected = cluster.Leader() == 0 ? 1 : 0;
  cluster.Isolate(disconnected, absl::Seconds(60));
  cluster.RunFor(absl::Seconds(50));
  ASSERT_FALSE(IsVoter(&cluster, disconnected));
  cluster.Heal();
  cluster.RunFor(absl::Seconds(10));
  const Membership membership = LatestMembership(&cluster);
  EXPECT_NE(std::find_if(membership.members.begin(), membership.members.end(),
                         [&](const Member& member) {
                           return member.vm == cluster.node(disconnected).vm;
                         }),
            membership.members.end());
  EXPECT_TRUE(Commits(&cluster));
}

// Guards against a VM that bootstraps a second group because its disk is empty
// and it cannot reach the other VMs.
TEST(DiscoveredVotersTest, ReplicaThatMayNotBootstrapWaits) {
  VirtualClusterSettings settings = Settings(3, 3, 3);
  settings.replica.may_bootstrap_group = false;
  VirtualCluster cluster(settings, 4);
  cluster.RunFor(absl::Seconds(20));
  EXPECT_EQ(cluster.Leader(), -1);
}

// Guards against a first election after a restart of all VMs that waits for a
// whole election timeout.
TEST(DiscoveredVotersTest, GroupElectsLeaderSoonAfterPowerLoss) {
  VirtualCluster cluster(Settings(3, 3, 3), 5);
  cluster.RunFor(absl::Seconds(5));
  ASSERT_GE(cluster.Leader(), 0);
  for (int i = 0; i < 3; ++i) {
    cluster.Crash(i);
  }
  cluster.Heal();
  cluster.RunFor(absl::Milliseconds(500));
  EXPECT_GE(cluster.Leader(), 0);
}

}  // namespace
}  // namespace camphorsail
