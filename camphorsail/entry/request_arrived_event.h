#ifndef CAMPHORSAIL_ENTRY_REQUEST_ARRIVED_EVENT_H_
#define CAMPHORSAIL_ENTRY_REQUEST_ARRIVED_EVENT_H_

#include <string>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The headers of a caller's request are complete.
struct RequestArrivedEvent {
  RequestId request;
  std::string method;
  /// Path with query, as sent.
  std::string path;
  /// Header values; empty when absent.
  std::string authorization;
  std::string class_header;
  std::string idempotency_key;
  std::string idempotent_header;
  std::string content_type;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_REQUEST_ARRIVED_EVENT_H_
