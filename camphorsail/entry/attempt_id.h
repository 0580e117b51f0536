#ifndef CAMPHORSAIL_ENTRY_ATTEMPT_ID_H_
#define CAMPHORSAIL_ENTRY_ATTEMPT_ID_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Identifies one backend call. Events of a backend call carry it; an event
/// whose id differs from the request's current attempt belongs to an earlier
/// attempt and is ignored.
struct AttemptId {
  RequestId request;
  AttemptNumber attempt;
  Incarnation incarnation;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ATTEMPT_ID_H_
