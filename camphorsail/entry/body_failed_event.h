#ifndef CAMPHORSAIL_ENTRY_BODY_FAILED_EVENT_H_
#define CAMPHORSAIL_ENTRY_BODY_FAILED_EVENT_H_

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The HTTP server rejected the request's headers or body.
struct BodyFailedEvent {
  RequestId request;
  Error error;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BODY_FAILED_EVENT_H_
