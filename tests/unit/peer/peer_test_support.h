#ifndef CAMPHORSAIL_TESTS_UNIT_PEER_PEER_TEST_SUPPORT_H_
#define CAMPHORSAIL_TESTS_UNIT_PEER_PEER_TEST_SUPPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/peer/peer_transport.h"

namespace camphorsail {

/// Time limit for conditions that a working transport meets within
/// milliseconds.
constexpr absl::Duration kTestLimit = absl::Seconds(60);

/// Waits until the condition holds. @return False after `kTestLimit`.
bool WaitUntil(const std::function<bool()>& condition);

/// @return Settings with a secret and an ephemeral port on `ip`.
PeerTransportSettings MakeTestSettings(const std::string& vm,
                                       const std::string& ip);

/// One transport with its clock and the messages it received.
class TestNode {
 public:
  /// Fails the test when the transport cannot be created.
  explicit TestNode(PeerTransportSettings settings);

  PeerTransport& transport() { return *transport_; }
  SharedHybridClock& clock() { return clock_; }
  PeerAddress address() const;
  PeerSendResult Send(const std::string& to, const std::string& payload);
  /// Makes the node take this long for each message that it receives, during
  /// which its event loop handles nothing else.
  void SetMessageDelay(absl::Duration delay) {
    message_delay_ms_ = absl::ToInt64Milliseconds(delay);
  }
  std::vector<std::pair<std::string, std::string>> Received() const;
  size_t ReceivedCount() const;
  /// @return The counters of one peer; zeros when the peer is unknown.
  PeerStats StatsOf(const std::string& vm) const;

 private:
  const VmId vm_;
  std::atomic<int64_t> message_delay_ms_ = 0;
  SharedHybridClock clock_;
  mutable absl::Mutex mutex_;
  /// Sender and payload in the order of arrival.
  std::vector<std::pair<std::string, std::string>> received_
      ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<PeerTransport> transport_;
};

/// Makes two nodes peers of each other.
void MakePeers(TestNode& a, TestNode& b);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TESTS_UNIT_PEER_PEER_TEST_SUPPORT_H_
