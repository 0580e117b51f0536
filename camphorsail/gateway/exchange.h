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
#include "camphorsail/gateway/backend_server.h"
#include "camphorsail/gateway/caller_connection.h"
#include "camphorsail/gateway/caller_request.h"
#include "camphorsail/gateway/event_stream.h"
#include "camphorsail/gateway/http_heads.h"
#include "camphorsail/gateway/placement.h"
#include "camphorsail/gateway/server_reply.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/routing/route_index.h"

namespace camphorsail {

/// One attempt of an exchange on one backend server.
struct ExchangeAttempt {
  Ref<BackendServer> server;
  BackendConnection* connection = nullptr;
  /// The request's number on the server.
  uint64_t number = 0;
  MonoTime started_at;
  absl::Duration prefill;
  absl::Duration expected;
  /// Requests on the server at the start, as far as known.
  double load = 0;
  /// See `PlacementChoice`.
  int place = -1;
  /// Time to the first event or to the whole answer.
  absl::Duration first;
  /// The first byte of the answer's body, or its end, has come.
  bool has_answer = false;
  std::optional<HttpResponseHead> head;
  ServerReply reply;
  /// Body of an answer that is passed on as a whole.
  std::string body;
  EventStream events;
};

/// One caller's request from its arrival to the end of its answer. Owned by the
/// `Gateway`; belongs to the loop's thread.
struct Exchange {
  /// Alive until the exchange is finished.
  CallerConnection* caller = nullptr;
  HttpRequestHead head;
  std::string body;
  CallerRequest request;
  /// The routing table that the request began with.
  Ref<RouteIndex> index;
  const Route* route = nullptr;
  const ServiceProfile* service = nullptr;
  ClientAccountId account;
  int urgency = 0;
  PlacementRequest placement;
  MonoTime arrived_at;
  /// When the caller or the route no longer waits.
  MonoTime deadline;

  /// Attempts that were sent, and those that a server may have run.
  int sent_attempts = 0;
  int runs = 0;
  /// Attempts of any kind, to bound those that reach no server.
  int tries = 0;
  std::optional<ExchangeAttempt> attempt;

  /// The answer has ended, or the caller has left.
  bool finished = false;
  /// A streamed answer has begun.
  bool streaming = false;
  /// Last event that the caller was sent.
  std::optional<uint64_t> last_event;
  uint64_t events_sent = 0;
  /// Time from arrival to the first event or to the whole answer; zero before.
  absl::Duration wait;
  /// When the latest events were passed on, and the longest time between two.
  MonoTime events_at;
  absl::Duration longest_pause;

  EventLoop::TimerId deadline_timer;
  EventLoop::TimerId silence_timer;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_EXCHANGE_H_
