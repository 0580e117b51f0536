#ifndef CAMPHORSAIL_ENTRY_BODY_COMPLETE_EVENT_H_
#define CAMPHORSAIL_ENTRY_BODY_COMPLETE_EVENT_H_

#include <string>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The whole body has been received.
struct BodyCompleteEvent {
  RequestId request;
  std::string body;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BODY_COMPLETE_EVENT_H_
