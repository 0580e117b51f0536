#ifndef CAMPHORSAIL_ENTRY_LEASE_EVENT_H_
#define CAMPHORSAIL_ENTRY_LEASE_EVENT_H_

#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// The admission lease was renewed or withdrawn.
struct LeaseEvent {
  MonoTime lease_valid_until;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_LEASE_EVENT_H_
