#ifndef CAMPHORSAIL_ENTRY_SEND_END_ACTION_H_
#define CAMPHORSAIL_ENTRY_SEND_END_ACTION_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Ends the answer to the caller.
struct SendEndAction {
  RequestId request;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SEND_END_ACTION_H_
