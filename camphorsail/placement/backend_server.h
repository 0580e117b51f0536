#ifndef CAMPHORSAIL_PLACEMENT_BACKEND_SERVER_H_
#define CAMPHORSAIL_PLACEMENT_BACKEND_SERVER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/base/units.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/attempt_health.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/placement/recent_prefixes.h"
#include "camphorsail/placement/reported_load.h"
#include "camphorsail/placement/server_pace.h"
#include "camphorsail/placement/server_speed.h"
#include "camphorsail/placement/server_wishes.h"
#include "camphorsail/placement/urgency_counts.h"

namespace camphorsail {

/// What a gateway knows about one incarnation of a backend server. The gateway
/// counts its own requests on the server exactly. It estimates the requests of
/// the other gateways from the loads that these share through the replicas of
/// the control state or, if those are too old, from the load that the server
/// reports in its answers. Owned jointly by `BackendFleet` and by the requests
/// on the server. Not thread-safe; used on the event loop's thread only.
class BackendServer : public RefCounted<BackendServer> {
 public:
  BackendServerId id;
  /// Hash of `id`, equal at all gateways.
  uint64_t hash = 0;
  Incarnation incarnation;
  NetworkAddress address;
  FailureDomainId failure_domain;
  /// Name of the model or of the plain service that the server answers.
  ModelId service;
  /// Requests that the server runs at the same time.
  int slots = 1;
  /// When this gateway first heard of the server.
  MonoTime known_since;
  /// Requests of this gateway on the server that may end it, see
  /// `PlacementRequest::isolated`.
  int isolated_requests = 0;
  /// False once the server is leaving, has stopped sending announcements, or
  /// was replaced at its address.
  bool available = true;
  AttemptHealth health;
  ServerSpeed speed;
  ServerWishes wishes;
  /// Limits the requests while the server is new or has just recovered.
  ServerPace pace;
  /// Prompt prefixes that the server has probably cached.
  RecentPrefixes prefixes;

  /// Counts a request that is sent to the server.
  /// @param prefill Expected time to read the request's prompt; zero for calls.
  /// @return Sequence number of the request on this server, in the order of
  /// dispatch.
  uint64_t OnDispatch(absl::Duration prefill, Urgency urgency, MonoTime now);
  /// Records that the first event or the whole answer of a request has arrived.
  /// @param number Sequence number of the request, from `OnDispatch`.
  void OnFirstAnswer(uint64_t number, MonoTime now);
  /// Judges a request that has waited for its answer for long.
  /// @return True when the request seems to be stuck: the server has answered
  /// no request of any gateway since `dispatched_at`, or has answered several
  /// that this gateway sent later, or is not busy.
  bool IsStuck(uint64_t number, MonoTime dispatched_at, MonoTime now) const;
  /// Records that the server has read a request's prompt, or that the attempt
  /// ended before that.
  void OnPromptDone(absl::Duration prefill, Urgency urgency, MonoTime now);
  /// Records that a request on the server has ended.
  void OnFinished(Urgency urgency);
  /// Counts the tokens that a request which is sent to the server needs in its
  /// memory, and those of one that has ended.
  void HoldTokens(Tokens tokens, Urgency urgency) {
    own_tokens_.Add(urgency, static_cast<uint32_t>(tokens.value()));
  }
  void ReleaseTokens(Tokens tokens, Urgency urgency) {
    own_tokens_.Remove(urgency, static_cast<uint32_t>(tokens.value()));
  }
  /// Takes the load that the server reports in an answer.
  void OnReport(const ReportedLoad& load, MonoTime now);
  /// Takes the load that the other gateways together have on the server.
  void OnOtherGatewaysLoad(const GatewayServerLoad& load, MonoTime now);

  /// @return Requests of this gateway on the server.
  int in_flight() const { return in_flight_; }
  /// @return Load of this gateway on the server, for the other gateways.
  GatewayServerLoad TakeOwnLoad(MonoTime now);
  /// @return Estimated requests of all gateways on the server.
  double Load(MonoTime now) const {
    return in_flight_ + OtherGatewaysLoad(now);
  }
  /// @return Estimated requests of the other gateways on the server.
  double OtherGatewaysLoad(MonoTime now) const;
  /// @param gateways Number of gateways that share the server.
  /// @return The load by which `pace` admits a request.
  ServerPace::Load PaceLoad(int gateways, MonoTime now) const;
  /// @return Estimated requests of all gateways on the server that are at least
  /// as urgent.
  double LoadUpTo(Urgency urgency, MonoTime now) const;
  /// @return The requests of all gateways on the server whose urgency is known.
  UrgencyCounts RequestsByUrgency(MonoTime now) const;
  /// @return Estimated tokens in the server's memory of the running requests of
  /// all gateways that are at least as urgent. Requests that wait for a slot
  /// hold none.
  double TokensUpTo(Urgency urgency, MonoTime now) const;
  /// @return Estimated time until the engine has read the prompts of all
  /// gateways.
  absl::Duration PromptBacklog(MonoTime now) const {
    return BacklogUpTo(Urgency(kUrgencyLevels - 1), now);
  }
  /// @return Estimated time until the engine has read all prompts that are at
  /// least as urgent, which it reads first.
  absl::Duration BacklogUpTo(Urgency urgency, MonoTime now) const;

 private:
  /// @return True while the load that the other gateways share is recent.
  bool KnowsOtherGateways(MonoTime now) const;
  /// @return Time until the engine has read all prompts of this gateway that
  /// are at least as urgent.
  absl::Duration OwnBacklogUpTo(Urgency urgency, MonoTime now) const;
  /// @return Weight of the latest load report, from 1 when it is new to 0 when
  /// it has expired.
  double ReportWeight(MonoTime now) const;

  /// Capacity of `answered_numbers_`.
  static constexpr size_t kMaxAnsweredNumbers = 32;

  uint64_t last_number_ = 0;
  /// Sequence numbers of the requests that were answered last, to find stuck
  /// requests.
  std::deque<uint64_t> answered_numbers_;
  /// When the server last answered this gateway.
  MonoTime answered_at_;
  /// When another gateway last reported an answer of the server.
  MonoTime answered_others_at_;
  uint32_t new_answers_ = 0;
  int in_flight_ = 0;
  /// The same requests by urgency.
  UrgencyCounts own_requests_;
  /// Tokens that these requests need in the server's memory.
  UrgencyCounts own_tokens_;
  ReportedLoad report_;
  MonoTime reported_at_;
  /// Requests of this gateway on the server when the report arrived.
  int own_in_flight_at_report_ = 0;
  /// Load of the other gateways, as they share it through the replicas.
  GatewayServerLoad other_gateways_;
  MonoTime other_gateways_at_;
  /// Expected prefill time of the prompts that were sent to the engine and
  /// whose first token has not arrived, by urgency.
  std::array<absl::Duration, kUrgencyLevels> unread_prefill_;
  /// When the engine began to read the first of these prompts.
  MonoTime reading_since_;
};

/// Servers of one service.
using BackendServers = std::vector<Ref<BackendServer>>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_BACKEND_SERVER_H_
