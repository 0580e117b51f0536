#ifndef TESTS_UNIT_CONTROL_NODE_VIRTUAL_PROVIDER_H_
#define TESTS_UNIT_CONTROL_NODE_VIRTUAL_PROVIDER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/unit/control_node/control_cluster.h"

namespace camphorsail {

/// Simulates the provider of a `ControlCluster` and the connections to it.
/// Connections are set up and calls arrive late or never, answers are lost, and
/// orders are carried out seconds late. As with `HttpCaller`, a call is written
/// before its `send_before` only, and nothing arrives after its deadline.
/// Checks what the holders of the duties promise.
class VirtualProvider {
 public:
  struct Settings {
    bool checks_tokens = false;
    int calls_per_second = 6;
    /// Lease of the duties.
    absl::Duration lease;
  };

  VirtualProvider(const Settings& settings,
                  uint64_t seed,
                  ControlCluster* cluster)
      : settings_(settings), random_(seed), cluster_(cluster) {}

  /// Number of times that each promise was broken.
  const std::map<std::string, int>& violations() const { return violations_; }
  int received() const { return received_; }
  const std::set<UsageWindowNumber>& accepted_windows() const {
    return accepted_windows_;
  }
  /// @return The servers that run for the subject.
  int Running(const ServerOrderSubject& subject) const;
  /// While unavailable, the provider refuses connections or fails.
  void set_available(bool available) { is_available_ = available; }
  /// While calm, the provider is reached without delay, loses no answer and has
  /// all servers.
  void set_calm(bool calm) { is_calm_ = calm; }

  /// The VM has no contact with the other ones from now on.
  void OnVmLost(int vm) { lost_since_[vm] = cluster_->now(); }
  /// The VM has contact with the other ones again.
  void OnVmBack(int vm) { lost_since_.erase(vm); }

  /// Receives a call from a VM.
  void OnCall(int vm, const ProviderCall& call);
  /// Lets calls arrive and orders be carried out whose time has come.
  void Step();

 private:
  struct Call {
    int vm = 0;
    /// The VM's `starts` at the time of the call.
    int start = 0;
    ProviderCall call;
    MonoTime decided;
    /// When the connection is up.
    MonoTime written;
    bool is_written = false;
    MonoTime arrives;
  };
  struct LateOrder {
    ServerOrder order;
    MonoTime carried_out;
  };
  struct Conflict {
    DutyToken token;
    MonoTime at;
  };

  /// @return True when the call has ended.
  bool Advance(Call* call);
  void CheckWrite(const Call& call);
  void CheckArrival(const Call& call);
  void Arrive(const Call& call);
  void End(const Call& call, ProviderOutcome outcome);
  /// @return A name of what the call is about, for which the provider keeps the
  /// highest token.
  static std::string SubjectOf(const ProviderCall& call);

  const Settings settings_;
  Random random_;
  ControlCluster* const cluster_;
  bool is_available_ = true;
  bool is_calm_ = false;
  std::map<int, MonoTime> lost_since_;
  std::vector<Call> calls_;
  std::vector<LateOrder> late_;
  std::map<std::string, DutyToken> highest_;
  std::map<std::string, Conflict> conflicts_;
  DutyToken highest_of_all_;
  std::map<UsageWindowNumber, UsageWindow> contents_;
  std::set<UsageWindowNumber> accepted_windows_;
  std::map<ServerOrderSubject, int> running_;
  std::map<DutyToken, int> users_;
  std::map<int, MonoTime> last_call_of_vm_;
  int last_vm_ = -1;
  std::deque<MonoTime> arrivals_;
  std::map<std::string, int> violations_;
  int received_ = 0;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONTROL_NODE_VIRTUAL_PROVIDER_H_
