#include "camphorsail/placement/prefix_rates.h"

#include <cmath>

namespace camphorsail {

double PrefixRates::Decayed(const Entry& entry, MonoTime now) {
  return entry.count * std::exp(-absl::ToDoubleSeconds(now - entry.at) /
                                kTimeConstantSeconds);
}

void PrefixRates::OnRequest(uint64_t prefix, MonoTime now) {
  if (entries_.size() >= kCapacity) {
    // A count that has decayed to less than half of a request says nothing.
    absl::erase_if(entries_, [&](const auto& item) {
      return Decayed(item.second, now) < 0.5;
    });
    if (entries_.size() >= kCapacity) {
      entries_.clear();
    }
  }
  Entry& entry = entries_[prefix];
  entry = {Decayed(entry, now) + 1, now};
}

double PrefixRates::RateOf(uint64_t prefix, MonoTime now) const {
  const auto found = entries_.find(prefix);
  if (found == entries_.end()) {
    return 0;
  }
  const double count = Decayed(found->second, now);
  return count < kMinCount ? 0 : count / kTimeConstantSeconds;
}

}  // namespace camphorsail
