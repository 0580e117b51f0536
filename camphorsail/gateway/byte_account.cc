#include "camphorsail/gateway/byte_account.h"

namespace camphorsail {

bool ByteHolder::Charge(size_t bytes, MonoTime now) {
  return account_->Charge(this, bytes, now);
}

void ByteHolder::Release() {
  account_->Release(this);
  is_pinned_ = false;
  is_given_up_ = false;
}

bool ByteAccount::Charge(ByteHolder* holder, size_t bytes, MonoTime now) {
  if (holder->is_given_up_) {
    return false;
  }
  while (bytes > holder->bytes_ && total_ - holder->bytes_ + bytes > limit_) {
    ByteHolder* larger = FindLarger(holder, bytes, now);
    if (larger == nullptr) {
      return false;
    }
    Release(larger);
    larger->is_given_up_ = true;
    ++given_up_;
    larger->give_up_();
  }
  if (!holder->IsLinked()) {
    holders_.PushBack(holder);
    holder->progressed_at_ = now;
  }
  total_ = total_ - holder->bytes_ + bytes;
  holder->bytes_ = bytes;
  return true;
}

void ByteAccount::Release(ByteHolder* holder) {
  if (holder->IsLinked()) {
    holders_.Remove(holder);
  }
  total_ -= holder->bytes_;
  holder->bytes_ = 0;
}

ByteHolder* ByteAccount::FindLarger(const ByteHolder* holder,
                                    size_t bytes,
                                    MonoTime now) {
  ByteHolder* largest = nullptr;
  size_t weight = bytes;
  for (ByteHolder* other = holders_.Front(); other != nullptr;
       other = holders_.Next(other)) {
    if (other == holder || other->is_pinned_) {
      continue;
    }
    const bool is_stalled = now - other->progressed_at_ >= kStalledAfter;
    const size_t other_weight =
        other->bytes_ * (is_stalled ? kStalledWeight : 1);
    if (other_weight > weight) {
      largest = other;
      weight = other_weight;
    }
  }
  return largest;
}

}  // namespace camphorsail
