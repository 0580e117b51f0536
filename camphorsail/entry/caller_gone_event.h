#ifndef CAMPHORSAIL_ENTRY_CALLER_GONE_EVENT_H_
#define CAMPHORSAIL_ENTRY_CALLER_GONE_EVENT_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The caller disconnected before the answer was complete.
struct CallerGoneEvent {
  RequestId request;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_CALLER_GONE_EVENT_H_
