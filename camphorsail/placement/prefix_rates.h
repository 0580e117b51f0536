#ifndef CAMPHORSAIL_PLACEMENT_PREFIX_RATES_H_
#define CAMPHORSAIL_PLACEMENT_PREFIX_RATES_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// How often this gateway gets requests with the same prompt prefix, as
/// exponentially decaying counts. Finds the few prefixes that are asked for so
/// often that one home engine cannot serve them. The number of entries is
/// bounded. Not thread-safe.
class PrefixRates {
 public:
  /// Counts a request.
  /// @param prefix Hash of the prefix.
  void OnRequest(uint64_t prefix, MonoTime now);
  /// @return Requests per second; 0 when there were too few to tell the rate
  /// from chance.
  double RateOf(uint64_t prefix, MonoTime now) const;

 private:
  /// Time constant of the counts. Within it, a gateway of a large fleet still
  /// gets several requests of a hot prefix.
  static constexpr double kTimeConstantSeconds = 6;
  /// Count below which a rate is not told. A prefix that is asked for by chance
  /// does not reach it.
  static constexpr double kMinCount = 2.5;
  static constexpr size_t kCapacity = 4096;

  struct Entry {
    double count = 0;
    MonoTime at;
  };

  static double Decayed(const Entry& entry, MonoTime now);

  absl::flat_hash_map<uint64_t, Entry> entries_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_PREFIX_RATES_H_
