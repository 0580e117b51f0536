#ifndef CAMPHORSAIL_ENTRY_SEND_DATA_ACTION_H_
#define CAMPHORSAIL_ENTRY_SEND_DATA_ACTION_H_

#include <string>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Sends bytes of the answer to the caller.
struct SendDataAction {
  RequestId request;
  std::string data;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SEND_DATA_ACTION_H_
