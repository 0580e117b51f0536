#ifndef CAMPHORSAIL_TIMELINE_TIMELINE_EVENT_H_
#define CAMPHORSAIL_TIMELINE_TIMELINE_EVENT_H_

#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/hybrid_clock.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// What happened, in snake_case, such as `request_refused`.
using TimelineKind = StrongId<struct TimelineKindTag, std::string>;

/// One decision or observation of one VM, with what it was based on. Fields
/// that do not apply are empty or zero.
struct TimelineEvent {
  HybridTimestamp time;
  VmId vm;
  TimelineKind kind;
  RequestId request;
  ClientAccountId account;
  ClassId class_id;
  BackendServerId server;
  /// Why, for a reader; usually the code of the error table.
  std::string reason;
  /// The values that the decision was based on, by name, with units in the
  /// names.
  std::vector<std::pair<std::string, std::string>> inputs;

  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_TIMELINE_EVENT_H_
