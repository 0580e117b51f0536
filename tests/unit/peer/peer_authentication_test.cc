#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/peer/http2_socket.h"
#include "camphorsail/peer/peer_frame.h"
#include "camphorsail/peer/peer_proof.h"
#include "camphorsail/peer/peer_protocol.h"
#include "gtest/gtest.h"
#include "peer_test_support.h"

namespace camphorsail {
namespace {

/// Runs one HTTP/2 connection with the hooks of a test until it ends or the
/// object is destroyed. Does not make the checks of a transport.
class RawConnection {
 public:
  RawConnection(int fd,
                Http2Socket::Side side,
                Http2Socket::Hooks hooks,
                const Http2Socket::Headers& request)
      : socket_(fd, side, std::move(hooks), MonoTime()) {
    if (!request.empty()) {
      socket_.SubmitRequest(request);
    }
    thread_ = std::thread([this] {
      while (!stop_ && socket_.Write() && socket_.Read(MonoTime())) {
        absl::SleepFor(absl::Milliseconds(1));
      }
      ended_ = true;
    });
  }
  ~RawConnection() {
    stop_ = true;
    thread_.join();
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  Http2Socket& socket() { return socket_; }
  bool ended() const { return ended_; }

 private:
  Http2Socket socket_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

Http2Socket::Headers RequestHeaders(const std::string& nonce) {
  return {{":method", "POST"},
          {":scheme", "http"},
          {":path", std::string(kPeerPath)},
          {":authority", "b"},
          {std::string(kPeerFromHeader), "a"},
          {std::string(kPeerToHeader), "b"},
          {std::string(kPeerNonceHeader), nonce}};
}

/// Connects to `b` as VM `a`, and sends the result of `make_proof` for the
/// server's nonce and then a message.
///
/// @return True when the message was delivered, false when `b` closed the
/// connection.
bool SendWithProof(
    TestNode& b,
    const std::string& nonce,
    const std::function<std::string(const std::string&)>& make_proof) {
  const size_t received_before = b.ReceivedCount();
  std::string server_nonce;
  std::string to_send;
  PeerMessage message;
  message.payload = "x";
  RawConnection* self = nullptr;
  std::atomic<bool> started{false};
  RawConnection connection(
      *ConnectTcp("127.0.0.1", b.address().address), Http2Socket::Side::kClient,
      {[&](std::string_view name, std::string_view value) {
         if (name == kPeerNonceHeader) {
           server_nonce = value;
         }
         return true;
       },
       [&] {
         while (!started) {
           absl::SleepFor(absl::Milliseconds(1));
         }
         to_send = make_proof(server_nonce) + EncodePeerFrame(message);
         self->socket().ResumeData();
         return true;
       },
       [](std::string_view) { return true; },
       [&](uint8_t* buffer, size_t capacity) {
         const size_t size = std::min(capacity, to_send.size());
         std::copy_n(to_send.begin(), size, buffer);
         to_send.erase(0, size);
         return size;
       }},
      RequestHeaders(nonce));
  self = &connection;
  started = true;
  EXPECT_TRUE(WaitUntil([&] {
    return connection.ended() || b.ReceivedCount() > received_before;
  }));
  return b.ReceivedCount() > received_before;
}

// Guards against a receiver that accepts messages from a client that does not
// know the secret, or that sends the server's own proof back. The first call
// shows that the test's client is accepted with the right proof.
TEST(PeerAuthenticationTest, ServerChecksTheClientsProof) {
  TestNode b(MakeTestSettings("b", "127.0.0.2"));
  ASSERT_TRUE(b.transport().AddPeer({VmId("a"), {"127.0.0.1", 9}}));
  const std::string secret = MakeTestSettings("b", "127.0.0.2").secret;
  const std::string nonce = MakePeerNonce();
  const auto proof = [&](PeerProofSide side, const std::string& key) {
    return [=](const std::string& server_nonce) {
      return ComputePeerProof(key, side,
                              {VmId("a"), VmId("b"), nonce, server_nonce});
    };
  };
  EXPECT_TRUE(SendWithProof(b, nonce, proof(PeerProofSide::kClient, secret)));
  EXPECT_FALSE(
      SendWithProof(b, nonce, proof(PeerProofSide::kClient, "another")));
  EXPECT_FALSE(SendWithProof(b, nonce, proof(PeerProofSide::kServer, secret)));
  EXPECT_FALSE(SendWithProof(b, nonce, [](const std::string&) {
    return std::string(kPeerProofBytes, '\0');
  }));
}

// Guards against a sender that sends its messages to a server that does not
// know the secret.
TEST(PeerAuthenticationTest, ClientChecksTheServersProof) {
  const int listen_fd = *ListenTcp({"127.0.0.2", 0});
  PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
  settings.peers = {{VmId("b"), LocalAddress(listen_fd)}};
  TestNode a(settings);
  a.Send("b", "for b only");
  pollfd entry = {listen_fd, POLLIN, 0};
  ASSERT_EQ(
      poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(kTestLimit))),
      1);
  std::atomic<size_t> body_bytes{0};
  RawConnection* self = nullptr;
  std::atomic<bool> started{false};
  RawConnection server(
      AcceptTcp(listen_fd), Http2Socket::Side::kServer,
      {[](std::string_view, std::string_view) { return true; },
       [&] {
         while (!started) {
           absl::SleepFor(absl::Milliseconds(1));
         }
         return self->socket().SubmitResponse(
             {{":status", "200"},
              {std::string(kPeerNonceHeader), MakePeerNonce()},
              {std::string(kPeerProofHeader),
               absl::BytesToHexString(std::string(kPeerProofBytes, 'x'))}},
             /*end=*/false);
       },
       [&](std::string_view bytes) {
         body_bytes += bytes.size();
         return true;
       },
       {}},
      {});
  self = &server;
  started = true;
  EXPECT_TRUE(WaitUntil([&] { return server.ended(); }));
  EXPECT_EQ(body_bytes, 0U);
  EXPECT_EQ(a.StatsOf("b").connects, 0U);
  EXPECT_EQ(a.StatsOf("b").messages_sent, 0U);
  close(listen_fd);
}

// Guards against a connection that is used although its answer is malformed.
// The last answer shows that the test's server is accepted with a valid one.
TEST(PeerAuthenticationTest, MalformedAnswerEndsTheConnection) {
  using Headers = Http2Socket::Headers;
  for (const Headers& odd :
       {Headers{{":status", "000"}}, Headers{{":status", "600"}},
        Headers{{":status", "20"}}, Headers{{":status", "0200"}},
        Headers{{":status", "200"}, {"x odd", "1"}},
        Headers{{":status", "200"}, {"x\x01odd", "1"}},
        Headers{{":status", "200"}, {"x-odd", "\x01"}},
        Headers{{":status", "200"}}}) {
    const bool is_valid = odd == Headers{{":status", "200"}};
    const int listen_fd = *ListenTcp({"127.0.0.2", 0});
    PeerTransportSettings settings = MakeTestSettings("a", "127.0.0.1");
    settings.peers = {{VmId("b"), LocalAddress(listen_fd)}};
    TestNode a(settings);
    a.Send("b", "for b only");
    pollfd entry = {listen_fd, POLLIN, 0};
    ASSERT_EQ(poll(&entry, 1,
                   static_cast<int>(absl::ToInt64Milliseconds(kTestLimit))),
              1);
    PeerHandshake handshake{VmId("a"), VmId("b"), "", MakePeerNonce()};
    std::atomic<size_t> body_bytes{0};
    RawConnection* self = nullptr;
    std::atomic<bool> started{false};
    RawConnection server(
        AcceptTcp(listen_fd), Http2Socket::Side::kServer,
        {[&](std::string_view name, std::string_view value) {
           if (name == kPeerNonceHeader) {
             handshake.client_nonce = value;
           }
           return true;
         },
         [&] {
           while (!started) {
             absl::SleepFor(absl::Milliseconds(1));
           }
           Headers headers = odd;
           headers.emplace_back(kPeerNonceHeader, handshake.server_nonce);
           headers.emplace_back(
               kPeerProofHeader,
               absl::BytesToHexString(ComputePeerProof(
                   settings.secret, PeerProofSide::kServer, handshake)));
           return self->socket().SubmitResponse(headers, /*end=*/false);
         },
         [&](std::string_view bytes) {
           body_bytes += bytes.size();
           return true;
         },
         {}},
        {});
    self = &server;
    started = true;
    EXPECT_TRUE(
        WaitUntil([&] { return is_valid ? body_bytes > 0 : server.ended(); }));
    EXPECT_EQ(body_bytes > 0, is_valid) << odd.front().second;
    close(listen_fd);
  }
}

}  // namespace
}  // namespace camphorsail
