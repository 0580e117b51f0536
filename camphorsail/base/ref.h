#ifndef CAMPHORSAIL_BASE_REF_H_
#define CAMPHORSAIL_BASE_REF_H_

#include <atomic>
#include <cassert>
#include <cstdint>
#include <utility>

namespace camphorsail {

/// Base of objects that carry their own reference count. The object is deleted
/// when its last `Ref` is destroyed.
///
/// @tparam T The derived class.
template <typename T>
class RefCounted {
 public:
  RefCounted() = default;
  RefCounted(const RefCounted&) = delete;
  RefCounted& operator=(const RefCounted&) = delete;

  void AddRef() const { count_.fetch_add(1, std::memory_order_relaxed); }
  void Release() const {
    const uint32_t before = count_.fetch_sub(1, std::memory_order_acq_rel);
    assert(before > 0);
    if (before == 1) {
      delete static_cast<const T*>(this);
    }
  }

 protected:
  ~RefCounted() = default;

 private:
  mutable std::atomic<uint32_t> count_{0};
};

/// A reference-counting smart pointer to a `RefCounted` object.
template <typename T>
class Ref {
 public:
  Ref() = default;
  explicit Ref(T* object) : object_(object) {
    if (object_ != nullptr) {
      object_->AddRef();
    }
  }
  Ref(const Ref& other) : Ref(other.object_) {}
  Ref(Ref&& other) noexcept : object_(std::exchange(other.object_, nullptr)) {}
  Ref& operator=(Ref other) noexcept {
    std::swap(object_, other.object_);
    return *this;
  }
  ~Ref() {
    if (object_ != nullptr) {
      object_->Release();
    }
  }

  T* get() const { return object_; }
  T& operator*() const { return *object_; }
  T* operator->() const { return object_; }
  explicit operator bool() const { return object_ != nullptr; }
  friend bool operator==(const Ref& a, const Ref& b) = default;

 private:
  T* object_ = nullptr;
};

/// @return A new object owned by the returned `Ref`.
template <typename T, typename... Args>
Ref<T> MakeRef(Args&&... args) {
  return Ref<T>(new T(std::forward<Args>(args)...));
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_REF_H_
