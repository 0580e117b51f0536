#ifndef CAMPHORSAIL_QUARANTINE_QUARANTINE_STORE_H_
#define CAMPHORSAIL_QUARANTINE_QUARANTINE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/quarantine/quarantine_change.h"

namespace camphorsail {

/// The replicated list of prompt parts that end backend servers. Deterministic:
/// replicas that apply the same changes have the same list. Owned by
/// `ControlState`; not thread-safe.
class QuarantineStore {
 public:
  /// Time after which a new entry may be tried. Each trial doubles it.
  static constexpr absl::Duration kFirstTrialAfter = absl::Minutes(15);
  /// Upper bound of the number of doublings.
  static constexpr uint32_t kMaxDoublings = 6;
  /// Entries that are kept; the oldest are dropped first.
  static constexpr size_t kMaxEntries = 256;
  /// Time for which parts that were released are not added again, because
  /// gateways that have not heard of it still ask for it.
  static constexpr absl::Duration kReleaseTime = absl::Seconds(10);

  /// @param now The replicated time.
  /// @return `kInvalidRequest` for a change that is not valid.
  Expected<void> Apply(const QuarantineChange& change, absl::Time now);

  /// @return The entry with this id; null when there is none.
  const QuarantineEntry* Find(QuarantineId id) const;
  /// @return All entries.
  std::vector<QuarantineEntry> Entries() const;
  bool empty() const { return entries_.empty(); }
  /// @return Number of changes of the list so far.
  uint64_t version() const { return version_; }

  std::string Snapshot() const;
  /// @return `kDataCorrupt` when `bytes` is not an encoding by `Snapshot`.
  static Expected<QuarantineStore> Restore(std::string_view bytes);

 private:
  void Add(const QuarantineChange& change, absl::Time now);
  void Release(const QuarantineChange& change, absl::Time now);
  void GrantTrial(const QuarantineChange& change, absl::Time now);

  uint64_t version_ = 0;
  std::map<QuarantineId, QuarantineEntry> entries_;
  /// Replicated time at which each entry was released, microseconds since the
  /// Unix epoch; for `kReleaseTime`.
  std::map<QuarantineId, int64_t> released_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_QUARANTINE_STORE_H_
