#ifndef CAMPHORSAIL_MEMBERSHIP_DEPARTURE_STORE_H_
#define CAMPHORSAIL_MEMBERSHIP_DEPARTURE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/membership/server_departure.h"

namespace camphorsail {

/// The replicated list of backend servers that said that they are leaving. An
/// announcement may arrive long after it was sent, when all VMs that heard of
/// the departure have restarted. Deterministic: replicas that apply the same
/// departures have the same list. Owned by `ControlState`; not thread-safe.
class DepartureStore {
 public:
  /// Time for which a departure is kept; longer than announcements are delayed.
  static constexpr absl::Duration kRetention = absl::Minutes(10);
  /// Departures that are kept; the oldest are dropped first. As many as the
  /// servers that a `ServerRegistry` holds.
  static constexpr size_t kMaxRecords = 4096;

  /// Records a departure; one that is already covered changes nothing.
  /// @param now The replicated time.
  void Apply(const ServerDeparture& departure, absl::Time now);

  /// @return True when a departure of this incarnation or of a later one is
  /// recorded.
  bool Covers(const BackendServerId& server, Incarnation incarnation) const;
  /// @param version A value that `version` has returned before; 0 for all
  /// departures.
  /// @return The departures that were recorded after it, in this order.
  std::vector<DepartureRecord> Since(uint64_t version) const;
  /// @return Number of departures recorded so far.
  uint64_t version() const { return version_; }
  size_t size() const { return records_.size(); }

  std::string Snapshot() const;
  /// @return `kDataCorrupt` when `bytes` is not an encoding by `Snapshot`.
  static Expected<DepartureStore> Restore(std::string_view bytes);

 private:
  void Erase(std::map<uint64_t, DepartureRecord>::iterator it);

  uint64_t version_ = 0;
  /// By version, thus in the order of recording.
  std::map<uint64_t, DepartureRecord> records_;
  /// Key in `records_` of each server.
  std::map<BackendServerId, uint64_t> versions_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_DEPARTURE_STORE_H_
