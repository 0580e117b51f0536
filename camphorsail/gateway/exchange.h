#ifndef CAMPHORSAIL_GATEWAY_EXCHANGE_H_
#define CAMPHORSAIL_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/gateway/backend_connection.h"
#include "camphorsail/gateway/byte_account.h"
#include "camphorsail/gateway/caller_connection.h"
#include "camphorsail/gateway/caller_request.h"
#include "camphorsail/gateway/event_stream.h"
#include "camphorsail/gateway/http_heads.h"
#include "camphorsail/gateway/server_reply.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/placement/admission_check.h"
#include "camphorsail/placement/admission_gate.h"
#include "camphorsail/placement/backend_server.h"
#include "camphorsail/placement/placement.h"
#include "camphorsail/quarantine/part_treatment.h"
#include "camphorsail/quarantine/prompt_part_hash.h"
#include "camphorsail/routing/route_index.h"

namespace camphorsail {

/// One attempt of an exchange on one backend server.
struct ExchangeAttempt {
  Ref<BackendServer> server;
  BackendConnection* connection = nullptr;
  /// Sequence number of the request on the server, from
  /// `BackendServer::OnDispatch`.
  uint64_t number = 0;
  MonoTime started_at;
  /// Expected prefill time and the prompt tokens that it is for, see
  /// `PlacementChoice`.
  absl::Duration prefill;
  double uncached_tokens = 0;
  /// Expected time to the start of the answer, see `PlacementChoice`.
  absl::Duration expected;
  /// Estimated requests of all gateways on the server at the start.
  double load = 0;
  /// True when the server had no prompts to read and a free slot at the start,
  /// as far as this gateway knows.
  bool is_server_idle = false;
  /// True when the server had no free slot at the start, as far as this gateway
  /// knows.
  bool is_server_full = false;
  /// Rank of the server for the prompt's prefix, see `PlacementChoice`.
  int prefix_rank = -1;
  /// Time from the start to the first event or to the whole answer.
  absl::Duration first;
  /// The first event or the whole answer has arrived.
  bool has_answer = false;
  /// The answer has gone on for some time, so that its begin did not end the
  /// server.
  bool has_settled = false;
  std::optional<HttpResponseHead> head;
  ServerReply reply;
  /// Body of an answer that is not forwarded as a stream.
  std::string body;
  EventStream events;
  /// Memory of the head, of `body` and of the incomplete event.
  std::optional<ByteHolder> held;
};

/// State of a caller's request from its arrival to the end of its answer. Owned
/// by the `Gateway`. Not thread-safe; used on the event loop's thread only.
struct Exchange {
  /// Unique in this process.
  uint64_t number = 0;
  /// Connection of the caller; valid until the exchange is finished.
  CallerConnection* caller = nullptr;
  HttpRequestHead head;
  std::string body;
  CallerRequest request;
  /// The routing table that was in use when the request arrived. Owns `route`
  /// and `service`.
  Ref<RouteIndex> index;
  const Route* route = nullptr;
  const ServiceProfile* service = nullptr;
  ClientAccountId account;
  /// The request as it counts for its account; nothing when the table does not
  /// tell several accounts apart, and for calls to plain services.
  std::optional<AdmissionGate::AccountRequest> account_request;
  /// Why the request may end a server: the parts of its prompt that other
  /// requests may share, and the request as a whole once its hash is known.
  PromptPartHashes causes;
  /// Identifies the request as a whole; computed when it is first needed.
  std::optional<PromptPartHash> request_hash;
  PlacementRequest placement;
  /// How the request was treated last because of the parts of its prompt.
  PartJudgement judgement;
  /// What the refusal was decided on, if the request was refused because of
  /// overload.
  std::optional<AdmissionCheck> refused_by;
  /// True when the request was refused for more urgent ones that are late.
  bool is_closed = false;
  /// Time until one of the service's servers takes requests again, if none did
  /// when the request was refused.
  absl::Duration servers_rest_for;
  MonoTime arrived_at;
  /// End of the time that the caller waits or that the route allows, whichever
  /// is earlier.
  MonoTime deadline;

  /// Failed attempts that reached a server.
  int failed_sent_attempts = 0;
  /// Failed attempts that a server may have run.
  int possible_runs = 0;
  /// Servers that ended before they began to answer this request.
  int ended_servers = 0;
  /// All attempts, including those that did not reach a server; bounds the
  /// total number.
  int started_attempts = 0;
  /// The current attempt.
  std::optional<ExchangeAttempt> attempt;

  /// The answer is complete, or the caller has disconnected.
  bool finished = false;
  /// The request is counted as begun, see `UsageMeter`.
  bool is_counted = false;
  /// A streamed answer has begun.
  bool streaming = false;
  /// Id of the last event that the caller has received.
  std::optional<uint64_t> last_event;
  uint64_t events_sent = 0;
  /// The attempt has broken off, and it is being checked whether its server has
  /// ended.
  bool is_held = false;
  /// Time until it is known whether a part of the prompt ends servers, if the
  /// request was refused until then.
  absl::Duration suspected_for;
  /// Time from arrival to the first event or to the whole answer; zero until
  /// then.
  absl::Duration wait;
  /// Time at which the latest events were forwarded.
  MonoTime events_at;
  /// Longest time between two events.
  absl::Duration longest_pause;

  EventLoop::TimerId deadline_timer;
  EventLoop::TimerId progress_timer;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_EXCHANGE_H_
