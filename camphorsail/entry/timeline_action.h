#ifndef CAMPHORSAIL_ENTRY_TIMELINE_ACTION_H_
#define CAMPHORSAIL_ENTRY_TIMELINE_ACTION_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Records one decision about a request in the timeline.
struct TimelineAction {
  RequestId request;
  /// Empty until the request is authenticated.
  ClientAccountId account;
  ClassId class_id;
  /// The backend server of the latest attempt; empty before the first.
  BackendServerId server;
  /// What was decided, for example `dispatch`.
  std::string decision;
  /// Reason for the decision, for example `retry`.
  std::string reason;
  /// Inputs of the decision as pairs of name and value.
  std::vector<std::pair<std::string, std::string>> inputs;
  absl::Duration time_since_arrival;
  /// Time from arrival to the first byte of the answer; zero before that byte
  /// is sent.
  absl::Duration time_to_first_byte;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_TIMELINE_ACTION_H_
