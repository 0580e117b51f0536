#ifndef CAMPHORSAIL_GATEWAY_BYTE_ACCOUNT_H_
#define CAMPHORSAIL_GATEWAY_BYTE_ACCOUNT_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "camphorsail/base/intrusive_list.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/byte_holder.h"

namespace camphorsail {

/// Limits the bytes that callers or servers make the process hold. When the
/// limit is reached, the largest holder is given up, so that few holders with
/// much cannot keep others from a little. Must outlive its holders. Not
/// thread-safe; used on the event loop's thread only.
class ByteAccount {
 public:
  /// A holder whose peer has taken or sent nothing for this long is stalled.
  static constexpr absl::Duration kStalledAfter = absl::Seconds(1);
  /// Bytes of a stalled holder count as this many when holders are compared.
  static constexpr size_t kStalledWeight = 2;

  /// @param limit Maximum bytes of all holders together.
  explicit ByteAccount(size_t limit) : limit_(limit) {}
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  /// @return Bytes of all holders.
  size_t total() const { return total_; }
  /// @return Number of holders that were given up.
  uint64_t given_up() const { return given_up_; }

 private:
  friend class ByteHolder;

  /// @return False when there is no room and `holder` is the largest.
  bool Charge(ByteHolder* holder, size_t bytes, MonoTime now);
  void Release(ByteHolder* holder);
  /// @return The holder to give up for `holder`, which is to have `bytes`; null
  /// when it is the largest itself.
  ByteHolder* FindLarger(const ByteHolder* holder, size_t bytes, MonoTime now);

  const size_t limit_;
  size_t total_ = 0;
  uint64_t given_up_ = 0;
  /// The holders that have bytes.
  IntrusiveList<ByteHolder> holders_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BYTE_ACCOUNT_H_
