#ifndef TESTS_UNIT_ENTRY_SCRIPTED_SCHEDULER_H_
#define TESTS_UNIT_ENTRY_SCRIPTED_SCHEDULER_H_

#include <vector>

#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// A scheduler that records its calls and returns the actions that the test has
/// put into `next_actions`.
class ScriptedScheduler {
 public:
  using Actions = std::vector<SchedulerAction>;

  void OnArrival(const RequestDescriptor& request,
                 MonoTime /*now*/,
                 Actions* actions) {
    arrivals.push_back(request);
    Reply(actions);
  }
  void OnTokens(RequestId /*id*/, Tokens tokens, MonoTime /*now*/) {
    token_count = token_count + tokens;
  }
  void OnAttemptFinished(const AttemptOutcome& outcome,
                         MonoTime /*now*/,
                         Actions* actions) {
    outcomes.push_back(outcome);
    Reply(actions);
  }
  void OnCallerGone(RequestId id, MonoTime /*now*/, Actions* actions) {
    gone_requests.push_back(id);
    Reply(actions);
  }
  void OnServerView(const ServerView& /*view*/,
                    MonoTime /*now*/,
                    Actions* /*actions*/) {}
  void OnServerRemoved(const BackendServerId& /*server*/,
                       MonoTime /*now*/,
                       Actions* /*actions*/) {}
  void OnPeerDigest(const LoadDigest& /*digest*/, MonoTime /*now*/) {}
  void OnTick(MonoTime /*now*/, Actions* /*actions*/) {}

  std::vector<RequestDescriptor> arrivals;
  std::vector<AttemptOutcome> outcomes;
  std::vector<RequestId> gone_requests;
  Tokens token_count;
  /// Returned by the next call that can return actions.
  Actions next_actions;

 private:
  void Reply(Actions* actions) {
    actions->insert(actions->end(), next_actions.begin(), next_actions.end());
    next_actions.clear();
  }
};

static_assert(SchedulerLike<ScriptedScheduler>);

}  // namespace camphorsail

#endif  // TESTS_UNIT_ENTRY_SCRIPTED_SCHEDULER_H_
