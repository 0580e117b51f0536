#ifndef CAMPHORSAIL_ENTRY_ANSWER_BYTES_CONSUMED_EVENT_H_
#define CAMPHORSAIL_ENTRY_ANSWER_BYTES_CONSUMED_EVENT_H_

#include <cstddef>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The caller's connection has consumed bytes of the answer, so that a paused
/// backend call may be resumed.
struct AnswerBytesConsumedEvent {
  RequestId request;
  size_t bytes = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ANSWER_BYTES_CONSUMED_EVENT_H_
