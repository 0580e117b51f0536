#ifndef CAMPHORSAIL_ENTRY_SIMPLE_SCHEDULER_H_
#define CAMPHORSAIL_ENTRY_SIMPLE_SCHEDULER_H_

#include <deque>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// A minimal `SchedulerLike`: sends each request to the server with the fewest
/// outstanding requests of this VM, and keeps one queue in order of arrival.
/// Used as an example and in tests of the request path. Not thread-safe.
class SimpleScheduler {
 public:
  using Actions = std::vector<SchedulerAction>;

  void OnArrival(const RequestDescriptor& request,
                 MonoTime now,
                 Actions* actions);
  void OnTokens(RequestId /*request*/, Tokens /*tokens*/, MonoTime /*now*/) {}
  void OnAttemptFinished(const AttemptOutcome& outcome,
                         MonoTime now,
                         Actions* actions);
  void OnCallerGone(RequestId request, MonoTime now, Actions* actions);
  void OnServerView(const ServerView& view, MonoTime now, Actions* actions);
  void OnServerRemoved(const BackendServerId& server,
                       MonoTime now,
                       Actions* actions);
  void OnPeerDigest(const LoadDigest& /*digest*/, MonoTime /*now*/) {}
  void OnTick(MonoTime now, Actions* actions);

 private:
  struct Server {
    ServerView view;
    /// False once the server accepts no new requests.
    bool accepts = true;
    /// Number of requests that this VM has running on the server.
    int outstanding = 0;
    /// Not chosen before this time while another server is available.
    MonoTime avoid_until;
  };
  struct Request {
    RequestDescriptor descriptor;
    uint32_t attempts = 0;
    /// Server of the running attempt; empty when none runs.
    BackendServerId server;
    /// The server of the last failed attempt.
    BackendServerId failed_server;
  };

  // Gives the request's slot on its server back, if it holds one.
  void ReleaseSlot(Request* request);
  // Dispatches a request, or queues it when all suitable servers are full, or
  // refuses it when no server offers its target.
  void DispatchOrQueue(RequestId id, MonoTime now, Actions* actions);
  // Dispatches queued requests for which there is capacity.
  void DispatchQueued(MonoTime now, Actions* actions);
  // Ends a request with an error.
  void Refuse(RequestId id, Error error, Actions* actions);

  absl::btree_map<BackendServerId, Server> servers_;
  absl::flat_hash_map<RequestId, Request> requests_;
  std::deque<RequestId> queue_;
};

static_assert(SchedulerLike<SimpleScheduler>);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SIMPLE_SCHEDULER_H_
