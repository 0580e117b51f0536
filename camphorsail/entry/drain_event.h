#ifndef CAMPHORSAIL_ENTRY_DRAIN_EVENT_H_
#define CAMPHORSAIL_ENTRY_DRAIN_EVENT_H_

namespace camphorsail {

/// The process is stopping: new requests are refused, and requests in progress
/// are finished.
struct DrainEvent {};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_DRAIN_EVENT_H_
