#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "camphorsail/usage/usage_collector.h"
#include "camphorsail/usage/usage_meter.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace camphorsail {
namespace {

/// RapidCheck draws 100 histories in each.
constexpr int kRounds = 10;
constexpr int kGateways = 3;
constexpr int kReplicas = 3;
constexpr UsageWindowNumber kNumber{1000};

/// @return A number below `limit`, of the whole range in each case.
int Draw(int limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

/// Gateways and replicas whose messages are lost, repeated and reordered.
/// Guards against requests that count twice, and against lost ones other than
/// those that only an ended process knew.
class History {
 public:
  /// @param replicas_restart When false, only gateways end.
  explicit History(bool replicas_restart)
      : replicas_restart_(replicas_restart) {
    for (int i = 0; i < kGateways; ++i) {
      RestartGateway(i);
    }
    for (int i = 0; i < kReplicas; ++i) {
      RestartReplica(i);
    }
  }

  void Step() {
    const int gateway = Draw(kGateways);
    const int replica = Draw(kReplicas);
    switch (Draw(14)) {
      case 0:
      case 1:
      case 2:
        gateways_[gateway].meter->OnRequestBegun(ClientAccountId("a"),
                                                 InWindow());
        ++gateways_[gateway].begun;
        ++truth_;
        break;
      case 3:
      case 4:
        Poll(gateway);
        break;
      case 5:
        Forward(replica);
        break;
      case 6:
        gateways_[gateway].replica = replica;
        break;
      case 7:
        EndGateway(gateway);
        RestartGateway(gateway);
        break;
      case 8:
        if (replicas_restart_ && replica != leader_) {
          RestartReplica(replica);
        }
        break;
      case 9:
        leader_ = replica;
        ++term_;
        break;
      default:
        DeliverOne();
    }
  }

  /// Lets all messages through, and checks the sum.
  void CheckEnd() {
    messages_.clear();
    for (int round = 0; round < 2; ++round) {
      for (int i = 0; i < kGateways; ++i) {
        Poll(i);
      }
      DeliverAll();
      for (int i = 0; i < kReplicas; ++i) {
        Forward(i);
      }
      DeliverAll();
    }
    uint64_t sum = 0;
    for (const UsageWindow& window :
         replicas_[leader_].collector->ClosedWindows(
             Settings().CloseTimeOf(kNumber), {})) {
      for (const AccountUsage& usage : window.accounts) {
        sum += usage.requests;
      }
    }
    RC_ASSERT(sum <= truth_);
    RC_ASSERT(sum + lost_ + orphaned_ >= truth_);
  }

 private:
  struct Gateway {
    std::unique_ptr<UsageMeter> meter;
    uint64_t process = 0;
    int replica = 0;
    /// The replica process that has its counts.
    uint64_t reported_to = 0;
    uint64_t token = 0;
    uint64_t begun = 0;
    /// Begun requests that a poll carried, by token.
    std::map<uint64_t, uint64_t> carried;
    uint64_t acknowledged = 0;
  };
  struct Replica {
    std::unique_ptr<UsageCollector> collector;
    uint64_t process = 0;
    uint64_t forwarded_in = 0;
    /// Highest counts that the replica has of a gateway process that ended.
    std::map<uint64_t, uint64_t> known;
  };
  struct Message {
    enum class Kind { kPoll, kAnswer, kForward, kAcknowledgement } kind;
    int gateway = 0;
    uint64_t gateway_process = 0;
    int replica = 0;
    uint64_t replica_process = 0;
    uint64_t token = 0;
    GatewayUsage usage;
    UsageForward forward;
  };
  using Kind = Message::Kind;

  static UsageSettings Settings() { return {.window = absl::Seconds(5)}; }
  static absl::Time InWindow() {
    return Settings().EndOf(kNumber) - absl::Seconds(1);
  }
  /// What no replica knows is lost.
  void EndGateway(int i) {
    uint64_t known = 0;
    for (const Replica& replica : replicas_) {
      const auto found = replica.known.find(gateways_[i].process);
      known = std::max(known, found == replica.known.end() ? 0 : found->second);
    }
    RC_ASSERT(replicas_restart_ || known >= gateways_[i].acknowledged);
    lost_ += gateways_[i].begun - known;
  }
  void RestartGateway(int i) {
    const uint64_t process = ++last_process_;
    ended_.insert(gateways_[i].process);
    gateways_[i] = Gateway();
    gateways_[i].meter = std::make_unique<UsageMeter>(Settings());
    gateways_[i].process = process;
  }
  void RestartReplica(int i) {
    // Counts of ended gateways of which only this replica may know.
    for (const auto& [process, requests] : replicas_[i].known) {
      if (ended_.contains(process)) {
        orphaned_ += requests;
      }
    }
    // A gateway that goes on running reports all of its counts again.
    replicas_[i] = Replica();
    replicas_[i].collector = std::make_unique<UsageCollector>(Settings());
    replicas_[i].process = ++last_process_;
  }
  void Poll(int i) {
    Gateway& gateway = gateways_[i];
    const Replica& replica = replicas_[gateway.replica];
    if (std::exchange(gateway.reported_to, replica.process) !=
        replica.process) {
      gateway.meter->ReportAll(InWindow());
    }
    Message message{Kind::kPoll,
                    i,
                    gateway.process,
                    gateway.replica,
                    replica.process,
                    ++gateway.token,
                    {},
                    {}};
    message.usage = {VmId("g" + std::to_string(i)), gateway.process,
                     gateway.meter->TakeReport(gateway.token)};
    gateway.carried[gateway.token] = gateway.begun;
    messages_.push_back(std::move(message));
  }
  void Forward(int i) {
    Replica& replica = replicas_[i];
    if (i == leader_) {
      replica.collector->ForwardNothing();
      replica.forwarded_in = 0;
      return;
    }
    if (std::exchange(replica.forwarded_in, term_) != term_) {
      replica.collector->ForwardAll();
    }
    Message message{Kind::kForward, 0, 0, i, replica.process, 0, {}, {}};
    message.forward =
        replica.collector->UnacknowledgedChanges(TermNumber(term_));
    messages_.push_back(std::move(message));
  }

  /// Delivers a message that is drawn, loses it, or repeats it later.
  void DeliverOne() {
    if (messages_.empty()) {
      return;
    }
    const auto item =
        messages_.begin() + Draw(static_cast<int>(messages_.size()));
    const Message message = *item;
    const int fate = Draw(4);
    if (fate != 0) {
      messages_.erase(item);
    }
    if (fate != 1) {
      Deliver(message);
    }
  }
  void DeliverAll() {
    while (!messages_.empty()) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      Deliver(message);
    }
  }
  void Deliver(Message message) {
    Gateway& gateway = gateways_[message.gateway];
    Replica& replica = replicas_[message.replica];
    switch (message.kind) {
      case Kind::kPoll:
        // The connection of the poll ends with either process.
        if (message.replica_process == replica.process) {
          replica.collector->Merge(message.usage, InWindow());
          Know(message.usage, &replica);
          message.kind = Kind::kAnswer;
          messages_.push_back(std::move(message));
        }
        return;
      case Kind::kAnswer:
        if (message.gateway_process == gateway.process) {
          gateway.meter->OnAnswered(message.token);
          gateway.acknowledged =
              std::max(gateway.acknowledged, gateway.carried[message.token]);
        }
        return;
      case Kind::kForward: {
        Replica& leader = replicas_[leader_];
        for (const GatewayUsage& usage : message.forward.usages) {
          leader.collector->Merge(usage, InWindow());
          Know(usage, &leader);
        }
        if (message.forward.term.value() == term_) {
          message.kind = Kind::kAcknowledgement;
          messages_.push_back(std::move(message));
        }
        return;
      }
      case Kind::kAcknowledgement:
        if (message.replica_process == replica.process &&
            message.forward.term.value() == replica.forwarded_in) {
          replica.collector->OnAcknowledged(message.forward.sequence);
        }
        return;
    }
  }
  static void Know(const GatewayUsage& usage, Replica* replica) {
    for (const UsageCount& count : usage.counts) {
      uint64_t& known = replica->known[usage.process];
      known = std::max(known, count.requests);
    }
  }

  const bool replicas_restart_;
  Gateway gateways_[kGateways];
  Replica replicas_[kReplicas];
  int leader_ = 0;
  uint64_t term_ = 1;
  uint64_t last_process_ = 0;
  std::deque<Message> messages_;
  std::set<uint64_t> ended_;
  uint64_t truth_ = 0;
  /// Requests that no replica knew when their gateways ended.
  uint64_t lost_ = 0;
  /// Requests of ended gateways that an ended replica knew.
  uint64_t orphaned_ = 0;
};

TEST(UsageHistoryTest, CountsOnceAndLosesOnlyWhatEndedProcessesKnew) {
  for (int i = 0; i < kRounds; ++i) {
    ASSERT_TRUE(rc::check([] {
      History history(*rc::gen::arbitrary<bool>());
      const int steps = Draw(300);
      for (int i = 0; i < steps; ++i) {
        history.Step();
      }
      history.CheckEnd();
    }));
  }
}

}  // namespace
}  // namespace camphorsail
