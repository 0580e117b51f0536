#ifndef CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_H_
#define CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/btree_map.h"
#include "camphorsail/accounting/refused_minute_record.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Maximum number of refused minutes that are kept, which take about 60 MB. It
/// is reached when requests of 5,500 classes are refused for 90 minutes.
constexpr size_t kMaxRefusedMinutes = 500000;

/// The refused minutes of all accounts, a grow-only set: its content does not
/// depend on the order in which records are added and sets are merged. When the
/// set exceeds its capacity, all records of the oldest minutes are dropped, and
/// `complete_from` moves past them. Owned by `ControlState`, or by a VM for the
/// records that it has not yet proposed; not thread-safe.
class RefusedMinutes {
 public:
  /// Ordered by minute first, so that the oldest minutes can be dropped easily.
  struct Key {
    MinuteIndex minute;
    ClientAccountId account;
    ClassId class_id;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// The first refusal or failure in a minute.
  struct FirstRefusal {
    /// Wall clock of `vm`, microseconds since the Unix epoch.
    int64_t at_micros = 0;
    VmId vm;
    ErrorKind reason = ErrorKind::kInternal;

    friend auto operator<=>(const FirstRefusal&, const FirstRefusal&) = default;
  };
  using Map = absl::btree_map<Key, FirstRefusal>;

  /// @param capacity Maximum number of records; must be the same on every
  /// replica.
  explicit RefusedMinutes(size_t capacity = kMaxRefusedMinutes);
  // Defined in the source file, because g++ 12 reports false warnings
  // (-Wfree-nonheap-object) when the destructor of a B-tree map is inlined.
  ~RefusedMinutes();
  RefusedMinutes(const RefusedMinutes&);
  RefusedMinutes(RefusedMinutes&&) noexcept;
  RefusedMinutes& operator=(const RefusedMinutes&);
  RefusedMinutes& operator=(RefusedMinutes&&) noexcept;

  /// Adds one record. Of several records for the same minute, account and
  /// class, the one with the earliest time is kept.
  /// @return True when the set has changed.
  bool Add(const RefusedMinuteRecord& record);

  /// Adds all records of `other`, and drops the minutes that `other` has
  /// dropped.
  void Merge(const RefusedMinutes& other);

  /// @param first First minute, inclusive.
  /// @param last Last minute, inclusive.
  /// @return The records of the range, in order of minute, account and class.
  std::vector<RefusedMinuteRecord> Range(MinuteIndex first,
                                         MinuteIndex last) const;

  /// @return The first minute from which no records were dropped.
  MinuteIndex complete_from() const { return complete_from_; }
  const Map& minutes() const { return minutes_; }

  /// @return The encoded set.
  std::string Snapshot() const;
  /// Decodes a set.
  /// @param bytes A result of `Snapshot`.
  /// @return The set; `kDataCorrupt` when `bytes` is not valid.
  static Expected<RefusedMinutes> Restore(std::string_view bytes);

  friend bool operator==(const RefusedMinutes&,
                         const RefusedMinutes&) = default;

 private:
  // Drops all records before `minute`.
  void DropBefore(MinuteIndex minute);
  // Drops the oldest minutes until the set is within its capacity.
  void EnforceCapacity();

  size_t capacity_;
  Map minutes_;
  MinuteIndex complete_from_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_H_
