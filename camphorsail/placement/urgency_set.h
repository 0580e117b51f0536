#ifndef CAMPHORSAIL_PLACEMENT_URGENCY_SET_H_
#define CAMPHORSAIL_PLACEMENT_URGENCY_SET_H_

#include <bit>
#include <cstdint>
#include <optional>

#include "camphorsail/base/urgency.h"
#include "msgpack.hpp"

namespace camphorsail {

/// A set of urgencies.
class UrgencySet {
 public:
  bool IsEmpty() const { return bits_ == 0; }
  bool Contains(Urgency urgency) const {
    return (bits_ >> urgency.value() & 1U) != 0;
  }
  void Add(Urgency urgency) { bits_ |= 1U << urgency.value(); }
  /// @return The members that are less urgent.
  UrgencySet LessUrgentThan(Urgency urgency) const {
    return UrgencySet(bits_ & ~((2U << urgency.value()) - 1));
  }
  /// @return The members that are more urgent.
  UrgencySet MoreUrgentThan(Urgency urgency) const {
    return UrgencySet(bits_ & ((1U << urgency.value()) - 1));
  }
  /// @return Nothing when the set is empty.
  std::optional<Urgency> MostUrgent() const {
    return IsEmpty() ? std::nullopt
                     : std::optional(Urgency(std::countr_zero(bits_)));
  }
  /// @return Nothing when the set is empty.
  std::optional<Urgency> LeastUrgent() const {
    return IsEmpty() ? std::nullopt
                     : std::optional(Urgency(std::bit_width(bits_) - 1));
  }

  UrgencySet& operator|=(const UrgencySet& other) {
    bits_ |= other.bits_;
    return *this;
  }
  friend UrgencySet operator|(UrgencySet a, const UrgencySet& b) {
    return a |= b;
  }
  friend bool operator==(const UrgencySet&, const UrgencySet&) = default;

  void msgpack_unpack(const msgpack::object& object) {
    const auto bits = object.as<uint32_t>();
    if (bits >> kUrgencyLevels != 0) {
      throw msgpack::type_error();
    }
    bits_ = bits;
  }
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(bits_);
  }

  UrgencySet() = default;

 private:
  explicit UrgencySet(uint32_t bits) : bits_(bits) {}

  /// Bit n stands for urgency n.
  uint32_t bits_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_URGENCY_SET_H_
