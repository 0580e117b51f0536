#include "camphorsail/peer/peer_transport.h"

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "peer_test_support.h"

namespace camphorsail {
namespace {

// Guards against lost, duplicated or reordered messages on a connection, also
// for payloads that span many HTTP/2 frames and windows.
TEST(PeerTransportTest, DeliversInOrder) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, b);
  std::vector<std::pair<std::string, std::string>> expected;
  for (int i = 0; i < 200; ++i) {
    std::string payload = std::to_string(i);
    payload.append(i % 50 == 7 ? 700'000 : i, 'x');
    expected.emplace_back("a", payload);
    ASSERT_TRUE(WaitUntil(
        [&] { return a.Send("b", payload) == PeerSendResult::kQueued; }));
  }
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedCount() == expected.size(); }));
  EXPECT_EQ(b.Received(), expected);
  EXPECT_EQ(a.StatsOf("b").messages_sent, expected.size());
  EXPECT_EQ(b.StatsOf("a").messages_received, expected.size());
  EXPECT_EQ(a.StatsOf("b").payload_bytes_sent,
            b.StatsOf("a").payload_bytes_received);
  // The bytes of a read are counted after the messages that it completes were
  // passed on.
  EXPECT_TRUE(WaitUntil([&] {
    return b.StatsOf("a").wire_bytes_received >
           b.StatsOf("a").payload_bytes_received;
  }));
}

// Guards against the loss of messages that are written when a handshake ends,
// because a connection of the other direction closes the attempt in the same
// iteration of the event loop. The event loop of `a` is kept busy, so that the
// events of both connections are handled in one iteration.
TEST(PeerTransportTest, ConnectionsThatCrossLoseNoMessage) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode busy(MakeTestSettings("busy", "127.0.0.3"));
  MakePeers(a, busy);
  a.SetMessageDelay(absl::Milliseconds(3));
  std::atomic<bool> stop = false;
  std::thread sender([&] {
    while (!stop) {
      busy.Send("a", "delay");
      absl::SleepFor(absl::Milliseconds(4));
    }
  });
  const VmId name("b");
  PeerTransportSettings settings = MakeTestSettings("b", "127.0.0.2");
  settings.listen = TestNode(settings).address().address;
  ASSERT_TRUE(a.transport().AddPeer({name, settings.listen}));
  for (int round = 0; round < 150; ++round) {
    // `a` tries to connect again and again. The connection of the restarted
    // peer arrives at any time of such an attempt.
    ASSERT_TRUE(WaitUntil([&] { return !a.StatsOf("b").outbound_connected; }));
    TestNode b(settings);
    EXPECT_TRUE(b.transport().AddPeer(a.address()));
    constexpr size_t kMessages = 5;
    for (size_t i = 0; i < kMessages; ++i) {
      EXPECT_EQ(a.Send("b", "x"), PeerSendResult::kQueued);
    }
    EXPECT_TRUE(WaitUntil([&] { return b.ReceivedCount() == kMessages; }))
        << "round " << round << ", received " << b.ReceivedCount();
    if (HasFailure()) {
      break;
    }
  }
  stop = true;
  sender.join();
}

// Guards against messages that reach a peer other than the addressed one, or
// carry a wrong sender.
TEST(PeerTransportTest, MessagesReachOnlyTheAddressedPeer) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  TestNode c(MakeTestSettings("c", "127.0.0.3"));
  MakePeers(a, b);
  MakePeers(b, c);
  MakePeers(a, c);
  EXPECT_EQ(a.Send("c", "from a"), PeerSendResult::kQueued);
  EXPECT_EQ(b.Send("c", "from b"), PeerSendResult::kQueued);
  EXPECT_EQ(c.Send("a", "from c"), PeerSendResult::kQueued);
  ASSERT_TRUE(WaitUntil(
      [&] { return c.ReceivedCount() == 2 && a.ReceivedCount() == 1; }));
  for (const auto& [from, payload] : c.Received()) {
    EXPECT_EQ(payload, "from " + from);
  }
  EXPECT_EQ(a.Received()[0],
            std::make_pair(std::string("c"), std::string("from c")));
  EXPECT_EQ(b.ReceivedCount(), 0U);
  EXPECT_EQ(a.Send("d", "x"), PeerSendResult::kUnknownPeer);
}

// Guards against a receiver whose events get earlier timestamps than the
// message that caused them.
TEST(PeerTransportTest, MessagesMoveTheReceiversClock) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, b);
  HybridTimestamp ahead = a.clock().Now();
  ahead.wall_micros += absl::ToInt64Microseconds(absl::Hours(1));
  ASSERT_TRUE(a.clock().Observe(ahead));
  a.Send("b", "x");
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedCount() == 1; }));
  EXPECT_GT(b.clock().Now(), ahead);
}

// Guards against clocks of the whole fleet that follow one VM with a wrong wall
// clock.
TEST(SharedHybridClockTest, IgnoresTimestampsFarAhead) {
  SharedHybridClock clock([] { return absl::FromUnixSeconds(1'000'000); });
  const HybridTimestamp far{2'000'000'000'000'000, 0};
  EXPECT_FALSE(clock.Observe(far));
  EXPECT_LT(clock.Now(), far);
}

// Guards against a peer that stays unreachable after it was restarted, and
// against messages from before the restart that are delivered again.
TEST(PeerTransportTest, ReconnectsAfterRestart) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  std::optional<TestNode> b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, *b);
  a.Send("b", "first");
  ASSERT_TRUE(WaitUntil([&] { return b->ReceivedCount() == 1; }));
  PeerTransportSettings restarted_settings = MakeTestSettings("b", "127.0.0.2");
  restarted_settings.listen = b->address().address;
  restarted_settings.peers = {a.address()};
  b.reset();
  ASSERT_TRUE(WaitUntil([&] { return !a.transport().IsConnected(VmId("b")); }));
  a.Send("b", "second");
  b.emplace(restarted_settings);
  ASSERT_TRUE(WaitUntil([&] { return b->ReceivedCount() == 1; }));
  EXPECT_EQ(b->Received()[0].second, "second");
  EXPECT_EQ(a.StatsOf("b").connects, 2U);
  b->Send("a", "back");
  EXPECT_TRUE(WaitUntil([&] { return a.ReceivedCount() == 1; }));
}

// Guards against a stop that loses messages which were queued before it.
TEST(PeerTransportTest, FlushDeliversQueuedMessages) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, b);
  ASSERT_TRUE(WaitUntil([&] { return a.transport().IsConnected(VmId("b")); }));
  for (int i = 0; i < 500; ++i) {
    a.Send("b", std::string(1000, 'x'));
  }
  EXPECT_TRUE(a.transport().Flush(kTestLimit));
  a.transport().Stop();
  EXPECT_TRUE(WaitUntil([&] { return b.ReceivedCount() == 500; }));
  EXPECT_EQ(a.Send("b", "x"), PeerSendResult::kStopped);
}

// Guards against a removed peer that still delivers or receives messages.
TEST(PeerTransportTest, RemovedPeerIsDisconnected) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, b);
  ASSERT_TRUE(WaitUntil([&] {
    return a.transport().IsConnected(VmId("b")) &&
           b.transport().IsConnected(VmId("a"));
  }));
  const uint64_t refused_before = b.transport().refused_connections();
  b.transport().RemovePeer(VmId("a"));
  EXPECT_EQ(b.Send("a", "x"), PeerSendResult::kUnknownPeer);
  ASSERT_TRUE(WaitUntil([&] { return !a.transport().IsConnected(VmId("b")); }));
  ASSERT_TRUE(WaitUntil(
      [&] { return b.transport().refused_connections() > refused_before; }));
  EXPECT_FALSE(a.transport().IsConnected(VmId("b")));
}

// Guards against handlers that deadlock when they use the transport.
TEST(PeerTransportTest, HandlersMayCallTheTransport) {
  SharedHybridClock clock;
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  PeerTransport* self = nullptr;
  absl::Mutex mutex;
  auto created =
      PeerTransport::Create(MakeTestSettings("a", "127.0.0.1"), &clock,
                            [&](const VmId& from, PeerMessage message) {
                              absl::MutexLock lock(&mutex);
                              self->Send(from, std::move(message));
                              self->Stats();
                              self->AddPeer({VmId("z"), {"127.0.0.9", 9}});
                              self->RemovePeer(VmId("z"));
                            });
  ASSERT_TRUE(created);
  {
    absl::MutexLock lock(&mutex);
    self = created->get();
  }
  ASSERT_TRUE((*created)->AddPeer(b.address()));
  b.transport().AddPeer({VmId("a"), (*created)->listen_address()});
  b.Send("a", "echo");
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedCount() == 1; }));
  EXPECT_EQ(b.Received()[0].second, "echo");
}

// Guards against a transport that starts with settings that do not protect it,
// and against errors that do not name the wrong field.
TEST(PeerTransportSettingsTest, ErrorsNameTheInvalidField) {
  PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
  settings.secret = "short";
  EXPECT_NE(settings.Validate().error().message.find("secret"),
            std::string::npos);
  settings = MakeTestSettings("a", "127.0.0.1");
  settings.peers = {{VmId("a"), {"127.0.0.2", 1}}};
  EXPECT_NE(settings.Validate().error().message.find("peers"),
            std::string::npos);
  settings = MakeTestSettings("a", "somewhere");
  EXPECT_NE(settings.Validate().error().message.find("listen"),
            std::string::npos);
  EXPECT_TRUE(MakeTestSettings("a", "127.0.0.1").Validate());
}

}  // namespace
}  // namespace camphorsail
