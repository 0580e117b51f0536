#include "peer_test_support.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"

namespace camphorsail {

bool WaitUntil(const std::function<bool()>& condition) {
  const absl::Time limit = absl::Now() + kTestLimit;
  while (!condition()) {
    if (absl::Now() > limit) {
      return false;
    }
    absl::SleepFor(absl::Milliseconds(1));
  }
  return true;
}

PeerTransportSettings MakeTestSettings(const std::string& vm,
                                       const std::string& ip) {
  PeerTransportSettings settings;
  settings.vm = VmId(vm);
  settings.listen = {ip, 0};
  settings.secret = "test secret of daemons";
  settings.max_message_bytes = 1 << 20;
  // Long time limits, so that delays of a busy machine do not close
  // connections.
  settings.idle_timeout = absl::Seconds(30);
  settings.handshake_timeout = absl::Seconds(30);
  return settings;
}

TestNode::TestNode(PeerTransportSettings settings) : vm_(settings.vm) {
  Expected<std::unique_ptr<PeerTransport>> created = PeerTransport::Create(
      std::move(settings), &clock_, [this](const VmId& from, PeerMessage m) {
        absl::SleepFor(absl::Milliseconds(message_delay_ms_.load()));
        absl::MutexLock lock(&mutex_);
        received_.emplace_back(from.value(), std::move(m.payload));
      });
  if (!created) {
    ADD_FAILURE() << created.error().message;
    std::abort();
  }
  transport_ = *std::move(created);
}

PeerAddress TestNode::address() const {
  return {vm_, transport_->listen_address()};
}

PeerSendResult TestNode::Send(const std::string& to,
                              const std::string& payload) {
  PeerMessage message;
  message.channel = PeerChannel::kCommand;
  message.payload = payload;
  return transport_->Send(VmId(to), std::move(message));
}

std::vector<std::pair<std::string, std::string>> TestNode::Received() const {
  absl::MutexLock lock(&mutex_);
  return received_;
}

size_t TestNode::ReceivedCount() const {
  absl::MutexLock lock(&mutex_);
  return received_.size();
}

PeerStats TestNode::StatsOf(const std::string& vm) const {
  for (const PeerStats& stats : transport_->Stats()) {
    if (stats.vm.value() == vm) {
      return stats;
    }
  }
  return {};
}

void MakePeers(TestNode& a, TestNode& b) {
  ASSERT_TRUE(a.transport().AddPeer(b.address()));
  ASSERT_TRUE(b.transport().AddPeer(a.address()));
}

}  // namespace camphorsail
