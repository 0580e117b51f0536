#ifndef CAMPHORSAIL_ENTRY_ENTRY_TICK_EVENT_H_
#define CAMPHORSAIL_ENTRY_ENTRY_TICK_EVENT_H_

namespace camphorsail {

/// Makes the shard check its timeouts; sent at least every 50 ms.
struct EntryTickEvent {};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_TICK_EVENT_H_
