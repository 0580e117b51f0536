#ifndef CAMPHORSAIL_BASE_STRONG_ID_H_
#define CAMPHORSAIL_BASE_STRONG_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace camphorsail {

/// An identifier or count that does not convert to any other kind of identifier
/// or count.
///
/// @tparam Tag A type that is unique to the identifier.
/// @tparam Rep The stored representation, an integer type or `std::string`.
template <typename Tag, typename Rep>
class StrongId {
 public:
  using RepType = Rep;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const StrongId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  Rep value_{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_STRONG_ID_H_
