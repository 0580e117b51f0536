#include "camphorsail/membership/departure_store.h"

#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {

void DepartureStore::Apply(const ServerDeparture& departure, absl::Time now) {
  // The replicated time never goes back, so the oldest records are the first.
  while (!records_.empty() &&
         now - absl::FromUnixMicros(records_.begin()->second.recorded_micros) >=
             kRetention) {
    Erase(records_.begin());
  }
  if (Covers(departure.server, departure.version.incarnation)) {
    return;
  }
  if (const auto known = versions_.find(departure.server);
      known != versions_.end()) {
    Erase(records_.find(known->second));
  }
  if (records_.size() >= kMaxRecords) {
    Erase(records_.begin());
  }
  ++version_;
  records_[version_] = {departure, absl::ToUnixMicros(now), version_};
  versions_[departure.server] = version_;
}

bool DepartureStore::Covers(const BackendServerId& server,
                            Incarnation incarnation) const {
  const auto known = versions_.find(server);
  return known != versions_.end() &&
         records_.at(known->second).departure.version.incarnation >=
             incarnation;
}

std::vector<DepartureRecord> DepartureStore::Since(uint64_t version) const {
  std::vector<DepartureRecord> records;
  for (auto it = records_.upper_bound(version); it != records_.end(); ++it) {
    records.push_back(it->second);
  }
  return records;
}

void DepartureStore::Erase(std::map<uint64_t, DepartureRecord>::iterator it) {
  versions_.erase(it->second.departure.server);
  records_.erase(it);
}

std::string DepartureStore::Snapshot() const {
  return PackBytes(std::make_tuple(version_, Since(0)));
}

Expected<DepartureStore> DepartureStore::Restore(std::string_view bytes) {
  using Fields = std::tuple<uint64_t, std::vector<DepartureRecord>>;
  Expected<Fields> fields = UnpackBytes<Fields>(bytes);
  if (!fields) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("departures: ", fields.error().message));
  }
  DepartureStore store;
  store.version_ = std::get<0>(*fields);
  for (DepartureRecord& record : std::get<1>(*fields)) {
    const uint64_t version = record.version;
    store.versions_[record.departure.server] = version;
    store.records_[version] = std::move(record);
  }
  return store;
}

}  // namespace camphorsail
