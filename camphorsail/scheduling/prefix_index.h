#ifndef CAMPHORSAIL_SCHEDULING_PREFIX_INDEX_H_
#define CAMPHORSAIL_SCHEDULING_PREFIX_INDEX_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

class ServerState;

/// Records where prompt prefixes are probably cached: for each block of a
/// prompt (see `RequestDescriptor::prefix_hashes`), the server to which it was
/// last sent or which last announced it as cached. The number of entries is
/// bounded. Guarded by the lock of the scheduler's shard.
class PrefixIndex {
 public:
  /// 32,768 entries take about 2 MB and cover the prefixes of 1,100 accounts.
  static constexpr size_t kMaxEntries = 32768;
  /// Number of blocks looked up per decision, starting with the longest prefix.
  static constexpr int kMaxLookups = 3;
  /// The probability that an entry is still valid is assumed to fall linearly
  /// to zero over this time.
  static constexpr absl::Duration kLifetime = absl::Seconds(120);

  struct Hit {
    ServerState* server = nullptr;
    /// Expected fraction of the prompt that is cached, in [0, 1].
    double fraction = 0;
  };

  /// Records that the server probably caches these blocks.
  void Record(const std::vector<uint64_t>& hashes,
              ServerState* server,
              MonoTime now);
  /// Removes blocks that the server has evicted from its cache.
  void Evict(const std::vector<uint64_t>& hashes, const ServerState* server);
  /// @param hashes Chained hashes, longest prefix last.
  /// @return The server with the longest known prefix; a null server when none
  /// of the examined blocks is known.
  Hit Find(const std::vector<uint64_t>& hashes, MonoTime now) const;
  /// Makes the server's entries at least half of `kLifetime` old, because cache
  /// events of the server were lost.
  void OnCacheEventsLost(const ServerState* server, MonoTime now);
  /// Removes the entries of a server that has left the pool.
  void RemoveServer(const ServerState* server);

 private:
  struct Entry {
    ServerState* server = nullptr;
    MonoTime at;
  };

  absl::flat_hash_map<uint64_t, Entry> entries_;
  /// Ring buffer of the keys in the order of insertion; the oldest entry is
  /// replaced when the index is full.
  std::vector<uint64_t> ring_;
  size_t next_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_PREFIX_INDEX_H_
