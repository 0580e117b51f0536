#ifndef CAMPHORSAIL_PLACEMENT_URGENCY_COUNTS_H_
#define CAMPHORSAIL_PLACEMENT_URGENCY_COUNTS_H_

#include <array>
#include <cstdint>

#include "camphorsail/base/urgency.h"
#include "msgpack.hpp"

namespace camphorsail {

/// An amount for each urgency, such as a number of requests. In messages it is
/// the list of the levels whose amount is not zero, each followed by the
/// amount.
class UrgencyCounts {
 public:
  uint32_t at(Urgency urgency) const { return amounts_[urgency.value()]; }
  void Add(Urgency urgency, uint32_t amount) {
    amounts_[urgency.value()] += amount;
  }
  /// @param amount Not more than was added.
  void Remove(Urgency urgency, uint32_t amount) {
    amounts_[urgency.value()] -= amount;
  }
  /// @return Sum of the amounts of all less urgent levels.
  uint32_t LessUrgentThan(Urgency urgency) const {
    uint32_t sum = 0;
    for (int level = urgency.value() + 1; level < kUrgencyLevels; ++level) {
      sum += amounts_[level];
    }
    return sum;
  }
  /// @return Sum of the amounts of all more urgent levels.
  uint32_t MoreUrgentThan(Urgency urgency) const {
    uint32_t sum = 0;
    for (int level = 0; level < urgency.value(); ++level) {
      sum += amounts_[level];
    }
    return sum;
  }

  UrgencyCounts& operator+=(const UrgencyCounts& other) {
    for (int level = 0; level < kUrgencyLevels; ++level) {
      amounts_[level] += other.amounts_[level];
    }
    return *this;
  }
  /// @param other Amounts that were added before.
  UrgencyCounts& operator-=(const UrgencyCounts& other) {
    for (int level = 0; level < kUrgencyLevels; ++level) {
      amounts_[level] -= other.amounts_[level];
    }
    return *this;
  }
  friend bool operator==(const UrgencyCounts&, const UrgencyCounts&) = default;

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    uint32_t levels = 0;
    for (const uint32_t amount : amounts_) {
      levels += amount > 0 ? 1 : 0;
    }
    packer.pack_array(2 * levels);
    for (uint32_t level = 0; level < kUrgencyLevels; ++level) {
      if (amounts_[level] > 0) {
        packer.pack(level);
        packer.pack(amounts_[level]);
      }
    }
  }
  void msgpack_unpack(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size % 2 != 0) {
      throw msgpack::type_error();
    }
    amounts_ = {};
    for (uint32_t i = 0; i < object.via.array.size; i += 2) {
      const auto level = object.via.array.ptr[i].as<uint32_t>();
      if (level >= kUrgencyLevels) {
        throw msgpack::type_error();
      }
      amounts_[level] = object.via.array.ptr[i + 1].as<uint32_t>();
    }
  }

 private:
  std::array<uint32_t, kUrgencyLevels> amounts_{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_URGENCY_COUNTS_H_
