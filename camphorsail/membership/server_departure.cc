#include "camphorsail/membership/server_departure.h"

#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {

ServerDeparture MakeDeparture(const ServerAnnouncement& announcement) {
  // Most descriptions take 60 to 200 bytes; the state has thousands of them.
  constexpr size_t kMaxDescriptionBytes = 512;
  ServerDeparture departure{announcement.server, announcement.version,
                            announcement.description};
  if (PackBytes(departure.description).size() > kMaxDescriptionBytes) {
    departure.version.sequence = AnnouncementSequence();
    departure.description = ServerDescription();
  }
  return departure;
}

}  // namespace camphorsail
