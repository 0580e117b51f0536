#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/peer/outbound_queue.h"
#include "camphorsail/peer/peer_frame.h"
#include "camphorsail/peer/peer_frame_reader.h"
#include "camphorsail/peer/peer_proof.h"
#include "gtest/gtest.h"
#include "peer_test_support.h"

namespace camphorsail {
namespace {

/// Forwards TCP bytes between a client and a transport. It can stop forwarding
/// while all connections stay open, which simulates a network partition that
/// neither end is notified of.
class FreezableRelay {
 public:
  FreezableRelay(const std::string& listen_ip,
                 std::string source_ip,
                 NetworkAddress target)
      : source_ip_(std::move(source_ip)),
        target_(std::move(target)),
        listen_fd_(*ListenTcp({listen_ip, 0})),
        thread_([this] { Run(); }) {}
  ~FreezableRelay() {
    stop_ = true;
    thread_.join();
    close(listen_fd_);
    for (const auto& [client, server] : pairs_) {
      close(client);
      close(server);
    }
  }
  FreezableRelay(const FreezableRelay&) = delete;
  FreezableRelay& operator=(const FreezableRelay&) = delete;

  NetworkAddress address() const { return LocalAddress(listen_fd_); }
  void SetFrozen(bool frozen) { frozen_ = frozen; }

 private:
  void Run() {
    while (!stop_) {
      if (!frozen_) {
        const int client = AcceptTcp(listen_fd_);
        if (client >= 0) {
          pairs_.emplace_back(client, *ConnectTcp(source_ip_, target_));
        }
        for (const auto& [a, b] : pairs_) {
          Forward(a, b);
          Forward(b, a);
        }
      }
      absl::SleepFor(absl::Milliseconds(1));
    }
  }

  static void Forward(int from, int to) {
    std::array<char, 4096> buffer;
    const ssize_t size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
      send(to, buffer.data(), static_cast<size_t>(size), MSG_NOSIGNAL);
    } else if (size == 0) {
      shutdown(to, SHUT_RDWR);
    }
  }

  const std::string source_ip_;
  const NetworkAddress target_;
  const int listen_fd_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> frozen_{false};
  std::vector<std::pair<int, int>> pairs_;
  std::thread thread_;
};

// Guards against a connection that is reported as connected after packets
// stopped arriving, for as long as TCP does not report an error.
TEST(PeerFaultTest, HalfOpenConnectionIsDetected) {
  PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
  settings.ping_interval = absl::Milliseconds(100);
  settings.idle_timeout = absl::Seconds(2);
  TestNode a(settings);
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  FreezableRelay relay("127.0.0.9", "127.0.0.1", b.address().address);
  ASSERT_TRUE(a.transport().AddPeer({VmId("b"), relay.address()}));
  ASSERT_TRUE(b.transport().AddPeer(a.address()));
  ASSERT_TRUE(WaitUntil([&] { return a.transport().IsConnected(VmId("b")); }));
  relay.SetFrozen(true);
  ASSERT_TRUE(WaitUntil([&] { return a.StatsOf("b").ping_timeouts > 0; }));
  EXPECT_FALSE(a.transport().IsConnected(VmId("b")));
  relay.SetFrozen(false);
  a.Send("b", "after the partition");
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedCount() == 1; }));
}

// Guards against a process without the secret that sends or receives messages.
TEST(PeerFaultTest, WrongSecretIsRefusedByBothEnds) {
  PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
  settings.secret = "another secret, just as long";
  TestNode a(settings);
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  MakePeers(a, b);
  a.Send("b", "x");
  b.Send("a", "x");
  ASSERT_TRUE(WaitUntil([&] {
    return a.transport().refused_connections() >= 2 &&
           b.transport().refused_connections() >= 2;
  }));
  EXPECT_EQ(a.StatsOf("b").connects, 0U);
  EXPECT_EQ(b.StatsOf("a").connects, 0U);
  EXPECT_EQ(a.ReceivedCount() + b.ReceivedCount(), 0U);
  EXPECT_EQ(a.StatsOf("b").messages_sent, 0U);
}

// Guards against a process that knows the secret and claims another VM's id.
TEST(PeerFaultTest, PeerFromWrongAddressIsRefused) {
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  TestNode impostor(MakeTestSettings("a", "127.0.0.7"));
  ASSERT_TRUE(b.transport().AddPeer({VmId("a"), {"127.0.0.1", 9}}));
  ASSERT_TRUE(impostor.transport().AddPeer(b.address()));
  impostor.Send("b", "x");
  ASSERT_TRUE(
      WaitUntil([&] { return b.transport().refused_connections() >= 2; }));
  EXPECT_EQ(b.ReceivedCount(), 0U);
}

// Guards against unauthenticated connections that hold memory without bound.
TEST(PeerFaultTest, UnauthenticatedConnectionsAreBounded) {
  PeerTransportSettings settings = MakeTestSettings("b", "127.0.0.2");
  settings.handshake_timeout = absl::Hours(1);
  settings.max_unauthenticated_connections = 3;
  TestNode b(settings);
  const auto refused = [&b] { return b.transport().refused_connections(); };
  std::vector<int> sockets;
  for (int i = 0; i < 6; ++i) {
    const Expected<int> fd = ConnectTcp("127.0.0.1", b.address().address);
    ASSERT_TRUE(fd);
    sockets.push_back(*fd);
  }
  // The other three stay open, because their handshake has not timed out.
  ASSERT_TRUE(WaitUntil([&] { return refused() == 3; }));
  for (const int fd : sockets) {
    close(fd);
  }
  EXPECT_TRUE(WaitUntil([&] { return refused() == 6; }));
}

// Guards against connections that stay open without sending anything, and
// against clients of another protocol that are not refused.
TEST(PeerFaultTest, ConnectionsWithoutHandshakeAreClosed) {
  PeerTransportSettings settings = MakeTestSettings("b", "127.0.0.2");
  settings.handshake_timeout = absl::Milliseconds(200);
  TestNode b(settings);
  const std::string other = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const std::string& text : {std::string(), other}) {
    const uint64_t before = b.transport().refused_connections();
    const int fd = *ConnectTcp("127.0.0.1", b.address().address);
    ASSERT_TRUE(WaitUntil(
        [&] { return send(fd, text.data(), text.size(), MSG_NOSIGNAL) >= 0; }));
    EXPECT_TRUE(WaitUntil(
        [&] { return b.transport().refused_connections() > before; }));
    close(fd);
  }
}

// Guards against messages that reach the wrong VM when an address is reused.
TEST(PeerFaultTest, AnotherVmAtTheAddressIsNotUsed) {
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode c(MakeTestSettings("c", "127.0.0.3"));
  ASSERT_TRUE(c.transport().AddPeer(a.address()));
  ASSERT_TRUE(a.transport().AddPeer({VmId("b"), c.address().address}));
  a.Send("b", "for b only");
  ASSERT_TRUE(
      WaitUntil([&] { return c.transport().refused_connections() >= 2; }));
  EXPECT_EQ(c.ReceivedCount(), 0U);
  EXPECT_EQ(a.StatsOf("b").connects, 0U);
}

// Guards against memory that grows with a message above the limit, at the
// sender and at a receiver with a smaller limit.
TEST(PeerFaultTest, OversizedMessageIsRefused) {
  PeerTransportSettings small = MakeTestSettings("b", "127.0.0.2");
  small.max_message_bytes = 1000;
  TestNode a(MakeTestSettings("a", "127.0.0.1"));
  TestNode b(small);
  MakePeers(a, b);
  ASSERT_TRUE(WaitUntil([&] { return a.transport().IsConnected(VmId("b")); }));
  // A connection opened before `b` knew its peer may have been refused.
  const uint64_t refused_before = b.transport().refused_connections();
  EXPECT_EQ(b.Send("a", std::string(1001, 'x')), PeerSendResult::kTooLarge);
  EXPECT_EQ(a.Send("b", std::string(2000, 'x')), PeerSendResult::kQueued);
  ASSERT_TRUE(WaitUntil([&] {
    return b.transport().refused_connections() == refused_before + 1;
  }));
  EXPECT_EQ(b.ReceivedCount(), 0U);
  // A message that enters the closed connection is lost with it.
  ASSERT_TRUE(WaitUntil([&] { return a.StatsOf("b").connects == 2; }));
  a.Send("b", "fits");
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedCount() == 1; }));
}

// Guards against a frame whose body is stored before its length is checked, and
// against a reader that depends on how the byte stream is split.
TEST(PeerFrameReaderTest, RefusesByLengthAndAcceptsAnySplit) {
  std::vector<std::string> payloads;
  PeerFrameReader reader(
      100, [&](PeerMessage m) { payloads.push_back(std::move(m.payload)); });
  PeerMessage message;
  message.sent_at = {-5, 7};
  std::string bytes;
  for (const char* payload : {"", "one", "\xff\x00two"}) {
    message.payload = payload;
    bytes += EncodePeerFrame(message);
  }
  for (const char c : bytes) {
    ASSERT_TRUE(reader.Feed({&c, 1}));
  }
  ASSERT_TRUE(reader.Feed(bytes));
  EXPECT_EQ(payloads.size(), 6U);
  const Expected<void> refused =
      reader.Feed(std::string_view("\x00\x00\x00\xff", 4));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::kProtocolError);
}

// Guards against malformed bytes of a faulty peer that raise an exception or
// are decoded as a message.
TEST(PeerFrameTest, MalformedBodiesAreErrors) {
  const std::string good = EncodePeerFrame({}).substr(kPeerFrameLengthBytes);
  ASSERT_TRUE(DecodePeerFrameBody(good));
  for (size_t size = 0; size < good.size(); ++size) {
    EXPECT_FALSE(DecodePeerFrameBody(good.substr(0, size))) << size;
  }
  for (const std::string body : {"\xc0", "\x94\x01\x01\x01\x01", "\x91\x91\x91",
                                 "\xdd\xff\xff\xff\xff", "\xa4name"}) {
    EXPECT_FALSE(DecodePeerFrameBody(body));
  }
}

// Guards against a queue that grows without bound, drops messages that are not
// replaceable, or drops messages although the new one does not fit even then.
TEST(OutboundQueueTest, DropsTheOldestReplaceableOnly) {
  OutboundQueue queue(4, 100);
  const auto push = [&](const std::string& payload, bool replaceable) {
    PeerMessage message;
    message.payload = payload;
    message.replaceable = replaceable;
    return queue.Push(std::move(message));
  };
  EXPECT_TRUE(push("r1", true));
  EXPECT_TRUE(push("k1", false));
  EXPECT_TRUE(push("r2", true));
  EXPECT_TRUE(push("k2", false));
  EXPECT_TRUE(push("k3", false));
  EXPECT_FALSE(push(std::string(95, 'x'), false));
  EXPECT_TRUE(push("r3", true));
  EXPECT_TRUE(push("k4", false));
  EXPECT_FALSE(push("r4", true));
  EXPECT_EQ(queue.GetCounts().dropped, 3U);
  EXPECT_EQ(queue.GetCounts().refused, 2U);
  EXPECT_EQ(queue.GetCounts().bytes, 8U);
  PeerMessage message;
  std::string order;
  while (queue.Pop(&message)) {
    order += message.payload;
  }
  EXPECT_EQ(order, "k1k2k3k4");
}

// Guards against a queue to an unreachable peer that grows without bound.
TEST(PeerFaultTest, QueueToUnreachablePeerIsBounded) {
  PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
  settings.max_queued_messages = 10;
  settings.peers = {{VmId("b"), {"127.0.0.2", 9}}};
  TestNode a(settings);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(a.Send("b", "x"), PeerSendResult::kQueued);
  }
  EXPECT_EQ(a.Send("b", "x"), PeerSendResult::kQueueFull);
  EXPECT_EQ(a.StatsOf("b").queued_messages, 10U);
  EXPECT_EQ(a.StatsOf("b").messages_refused, 1U);
}

// Guards against a proof that can be replayed on another connection, sent back
// to the end that made it, or used for other ids.
TEST(PeerProofTest, ProofsDependOnEveryField) {
  const PeerHandshake base{VmId("a"), VmId("b"), "n1", "n2"};
  const std::string proof =
      ComputePeerProof("secret", PeerProofSide::kClient, base);
  EXPECT_EQ(proof, ComputePeerProof("secret", PeerProofSide::kClient, base));
  EXPECT_NE(proof, ComputePeerProof("secret", PeerProofSide::kServer, base));
  EXPECT_NE(proof, ComputePeerProof("secre", PeerProofSide::kClient, base));
  for (const PeerHandshake& other :
       {PeerHandshake{VmId("ab"), VmId(""), "n1", "n2"},
        PeerHandshake{VmId("a"), VmId("c"), "n1", "n2"},
        PeerHandshake{VmId("a"), VmId("b"), "n1n", "2"},
        PeerHandshake{VmId("a"), VmId("b"), "n1", "n3"}}) {
    EXPECT_NE(proof, ComputePeerProof("secret", PeerProofSide::kClient, other));
  }
  EXPECT_NE(MakePeerNonce(), MakePeerNonce());
  EXPECT_TRUE(ConstantTimeEquals("abc", "abc"));
  EXPECT_FALSE(ConstantTimeEquals("abc", "abd"));
  EXPECT_FALSE(ConstantTimeEquals("abc", "ab"));
}

}  // namespace
}  // namespace camphorsail
