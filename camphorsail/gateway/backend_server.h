#ifndef CAMPHORSAIL_GATEWAY_BACKEND_SERVER_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_SERVER_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/gateway/attempt_health.h"
#include "camphorsail/gateway/engine_load.h"
#include "camphorsail/gateway/prefix_memory.h"
#include "camphorsail/gateway/server_reply.h"

namespace camphorsail {

/// What a gateway knows of one incarnation of a backend server: its own
/// requests there exactly, the other gateways' from what they share through the
/// replicas, or else from the load that answers report. Held by `BackendFleet`
/// and by its requests; belongs to the loop's thread.
class BackendServer : public RefCounted<BackendServer> {
 public:
  BackendServerId id;
  /// Of the id, equal at all gateways.
  uint64_t hash = 0;
  Incarnation incarnation;
  NetworkAddress address;
  FailureDomainId failure_domain;
  ModelId service;
  /// Requests that it runs at the same time.
  int slots = 1;
  /// False once it is leaving, silent or replaced at its address.
  bool available = true;
  AttemptHealth health;
  /// Prompt prefixes that it has probably cached.
  PrefixMemory prefixes;

  /// @param prefill Expected time to read the request's prompt; zero for calls.
  /// @param is_quick True for a stream whose first event is due early.
  /// @return The request's number on this server, in the order of dispatch.
  uint64_t OnDispatch(absl::Duration prefill, bool is_quick, MonoTime now);
  /// The first part of an answer has come.
  /// @param number Of the request, by `OnDispatch`.
  void OnFirstAnswer(uint64_t number, MonoTime now);
  /// @return True when a request that has waited for long seems to be stuck:
  /// the server has answered nothing since, or some that were sent later, or it
  /// is not busy.
  bool IsStuck(uint64_t number, MonoTime dispatched_at, MonoTime now) const;
  /// The request's prompt was read, or its attempt has ended before that.
  void OnPromptDone(absl::Duration prefill, MonoTime now);
  void OnFinished(bool is_quick, MonoTime now);
  void OnReport(const ReportedLoad& load, MonoTime now);
  /// Takes what the other gateways have there.
  void OnOthersLoad(const EngineLoad& load, MonoTime now);

  /// @return This gateway's requests there.
  int in_flight() const { return in_flight_; }
  /// @return This gateway's quick streams there.
  int quick_streams() const { return quick_streams_; }
  /// @return Requests there, as far as known.
  double Load(MonoTime now) const { return in_flight_ + OthersLoad(now); }
  /// @return Requests of the other gateways there.
  double OthersLoad(MonoTime now) const;
  /// @return Time until the engine has read the prompts that this gateway has
  /// sent it.
  absl::Duration OwnBacklog(MonoTime now) const;
  /// @return Time until the engine has read all prompts, as far as known.
  absl::Duration PromptBacklog(MonoTime now) const;

 private:
  /// @return Weight of the last report, which falls with its age.
  double ReportWeight(MonoTime now) const;

  /// Latest first answers that are kept to find stuck requests.
  static constexpr size_t kAnswersKept = 32;

  uint64_t last_number_ = 0;
  std::deque<uint64_t> answered_;
  MonoTime answered_at_;
  int in_flight_ = 0;
  int quick_streams_ = 0;
  ReportedLoad report_;
  MonoTime reported_at_;
  int own_at_report_ = 0;
  EngineLoad others_;
  MonoTime others_at_;
  /// Prompts sent whose first token has not come, and when the engine began to
  /// read the first of them.
  absl::Duration unread_prompts_;
  MonoTime reading_since_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_SERVER_H_
