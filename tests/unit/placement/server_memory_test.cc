#include <string>

#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/placement/placement.h"
#include "gtest/gtest.h"

// Tests of what bounds the requests on a server by its memory.
namespace camphorsail {
namespace {

constexpr Urgency kUrgent(0);
constexpr Urgency kPatient(6);

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

class ServerMemoryTest : public testing::Test {
 protected:
  ServerMemoryTest() {
    for (int i = 0; i < 2; ++i) {
      auto server = MakeRef<BackendServer>();
      server->id = BackendServerId(std::to_string(i));
      server->slots = 4;
      servers_.push_back(server);
    }
  }
  static PlacementRequest Request(int64_t tokens, Urgency urgency) {
    PlacementRequest request;
    request.is_generation = true;
    request.prompt_tokens = Tokens(tokens);
    request.urgency = urgency;
    request.memory_tokens = Tokens(tokens);
    request.server_memory = Tokens(10000);
    return request;
  }
  void Send(int server, int64_t tokens, Urgency urgency) {
    servers_[server]->OnDispatch(absl::ZeroDuration(), urgency, At(0));
    servers_[server]->HoldTokens(Tokens(tokens), urgency);
  }
  PlacementChoice Choose(const PlacementRequest& request) {
    return placement_.Choose(servers_, request, model_, At(0));
  }

  BackendServers servers_;
  ServiceModel model_;
  Placement placement_{PlacementSettings(), 1};
};

// Guards against an engine that has slots but no memory for a long prompt.
TEST_F(ServerMemoryTest, FullMemorySendsARequestElsewhereOrLetsItWait) {
  Send(0, 7000, kPatient);
  EXPECT_EQ(Choose(Request(4000, kPatient)).server, servers_[1]);
  Send(1, 7000, kPatient);
  const PlacementRequest request = Request(4000, kPatient);
  const PlacementChoice full = Choose(request);
  EXPECT_TRUE(full.is_memory_full);
  EXPECT_GE(full.queue, absl::Seconds(request.slot_seconds / 4));
  EXPECT_GE(full.expected, full.queue);
  EXPECT_FALSE(Choose(Request(3000, kPatient)).is_memory_full);
  servers_[0]->OnFinished(kPatient);
  servers_[0]->ReleaseTokens(Tokens(7000), kPatient);
  EXPECT_EQ(Choose(Request(4000, kPatient)).server, servers_[0]);
}

// Guards against requests of other gateways being left out.
TEST_F(ServerMemoryTest, RequestsOfAllGatewaysCount) {
  BackendServer other;
  other.OnDispatch(absl::ZeroDuration(), kUrgent, At(0));
  other.HoldTokens(Tokens(7000), kUrgent);
  const auto load =
      UnpackBytes<GatewayServerLoad>(PackBytes(other.TakeOwnLoad(At(0))));
  ASSERT_TRUE(load);
  for (const Ref<BackendServer>& server : servers_) {
    server->OnOtherGatewaysLoad(*load, At(0));
  }
  EXPECT_TRUE(Choose(Request(4000, kPatient)).is_memory_full);
}

// Guards against refusing an urgent request for less urgent ones, and against
// counting requests that wait for a slot, which hold no memory.
TEST_F(ServerMemoryTest, OnlyRunningRequestsThatAreAsUrgentKeepARequestOut) {
  Send(0, 9000, kPatient);
  Send(1, 9000, kPatient);
  EXPECT_TRUE(Choose(Request(4000, kUrgent)).server);
  for (int i = 0; i < 8; ++i) {
    Send(0, 1000, kUrgent);
  }
  // Half of the urgent requests at server 0 wait for a slot.
  EXPECT_DOUBLE_EQ(servers_[0]->TokensUpTo(kUrgent, At(0)), 4000);
}

// Guards against a request that is never sent because it alone is estimated to
// need more than the memory, and against a bound where none is stated.
TEST_F(ServerMemoryTest, EmptyServerAndUnstatedMemoryBoundNothing) {
  EXPECT_TRUE(Choose(Request(20000, kPatient)).server);
  PlacementRequest unstated = Request(20000, kPatient);
  unstated.server_memory = Tokens(0);
  Send(0, 9000, kPatient);
  Send(1, 9000, kPatient);
  EXPECT_TRUE(Choose(unstated).server);
}

}  // namespace
}  // namespace camphorsail
