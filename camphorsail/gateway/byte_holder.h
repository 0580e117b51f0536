#ifndef CAMPHORSAIL_GATEWAY_BYTE_HOLDER_H_
#define CAMPHORSAIL_GATEWAY_BYTE_HOLDER_H_

#include <cstddef>
#include <functional>
#include <utility>

#include "camphorsail/base/intrusive_list.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

class ByteAccount;

/// Bytes that are held for one caller or server, as counted by a `ByteAccount`.
class ByteHolder : public IntrusiveListNode<> {
 public:
  /// @param account Must outlive the holder.
  /// @param give_up Called when the bytes are needed for others, at most once
  /// until `Release`. Has to release the memory in a later iteration of the
  /// event loop, because another holder is being charged.
  ByteHolder(ByteAccount* account, std::function<void()> give_up)
      : account_(account), give_up_(std::move(give_up)) {}
  ~ByteHolder() { Release(); }

  /// Replaces the bytes that are held.
  /// @return False when the account has no room for them, or when the holder
  /// has been given up. The bytes are as before then.
  bool Charge(size_t bytes, MonoTime now);
  /// The holder has no bytes any more.
  void Release();
  /// Keeps the holder from being given up until `Release`.
  void Pin() { is_pinned_ = true; }
  /// The peer has taken or sent some bytes.
  void OnProgress(MonoTime now) { progressed_at_ = now; }

  size_t bytes() const { return bytes_; }
  /// @return True from the call of `give_up` until `Release`.
  bool is_given_up() const { return is_given_up_; }
  /// @return Time of the latest `OnProgress`, or since when there are bytes.
  MonoTime progressed_at() const { return progressed_at_; }

 private:
  friend class ByteAccount;

  ByteAccount* const account_;
  const std::function<void()> give_up_;
  size_t bytes_ = 0;
  bool is_pinned_ = false;
  bool is_given_up_ = false;
  MonoTime progressed_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BYTE_HOLDER_H_
