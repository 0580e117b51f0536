#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_DEPARTURE_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_DEPARTURE_H_

#include <cstdint>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/membership/server_announcement.h"

namespace camphorsail {

/// States that a backend server is leaving or gone. Covers the incarnation in
/// `version` and all before it.
struct ServerDeparture {
  BackendServerId server;
  /// Version of the last announcement; the sequence is 0 when none is known.
  AnnouncementVersion version;
  /// From the last announcement, so that a VM that has restarted has the same
  /// digest as the others. Empty when it is not known, or too large.
  ServerDescription description;

  friend bool operator==(const ServerDeparture&,
                         const ServerDeparture&) = default;
  MSGPACK_DEFINE(server, version, description)
};

/// @param announcement What is known of the server.
/// @return The departure of this incarnation.
ServerDeparture MakeDeparture(const ServerAnnouncement& announcement);

/// A departure in the replicated state.
struct DepartureRecord {
  ServerDeparture departure;
  /// Replicated time at which it was recorded, in microseconds since the Unix
  /// epoch.
  int64_t recorded_micros = 0;
  /// Number of the change that recorded it, see `DepartureStore::version`.
  uint64_t version = 0;

  friend bool operator==(const DepartureRecord&,
                         const DepartureRecord&) = default;
  MSGPACK_DEFINE(departure, recorded_micros, version)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_DEPARTURE_H_
