#ifndef CAMPHORSAIL_BASE_INTRUSIVE_LIST_H_
#define CAMPHORSAIL_BASE_INTRUSIVE_LIST_H_

#include <cassert>
#include <cstddef>

namespace camphorsail {

/// Base class of list elements. An object can be in one list for each `Tag` and
/// must be removed from it before it is destroyed.
template <typename Tag = void>
class IntrusiveListNode {
 public:
  IntrusiveListNode() = default;
  IntrusiveListNode(const IntrusiveListNode&) = delete;
  IntrusiveListNode& operator=(const IntrusiveListNode&) = delete;
  ~IntrusiveListNode() { assert(!IsLinked()); }

  bool IsLinked() const { return next_ != nullptr; }

 private:
  template <typename T, typename U>
  friend class IntrusiveList;

  IntrusiveListNode* previous_ = nullptr;
  IntrusiveListNode* next_ = nullptr;
};

/// A doubly linked list whose links are in its elements, so that insertion and
/// removal allocate nothing. Does not own its elements. Not thread-safe.
template <typename T, typename Tag = void>
class IntrusiveList {
 public:
  using Node = IntrusiveListNode<Tag>;

  IntrusiveList() { Reset(); }
  IntrusiveList(const IntrusiveList&) = delete;
  IntrusiveList& operator=(const IntrusiveList&) = delete;
  ~IntrusiveList() {
    assert(empty());
    head_.next_ = nullptr;
  }

  bool empty() const { return head_.next_ == &head_; }
  size_t size() const { return size_; }

  /// @return The first element; null when empty.
  T* Front() const { return empty() ? nullptr : static_cast<T*>(head_.next_); }
  /// @return The element after `element`; null at the end.
  T* Next(T* element) const {
    Node* next = static_cast<Node*>(element)->next_;
    return next == &head_ ? nullptr : static_cast<T*>(next);
  }

  void PushBack(T* element) { InsertBefore(&head_, element); }
  void PushFront(T* element) { InsertBefore(head_.next_, element); }

  /// @param element An element of this list.
  void Remove(T* element) {
    Node* node = element;
    assert(node->IsLinked());
    node->previous_->next_ = node->next_;
    node->next_->previous_ = node->previous_;
    node->previous_ = nullptr;
    node->next_ = nullptr;
    --size_;
  }

 private:
  void Reset() {
    head_.previous_ = &head_;
    head_.next_ = &head_;
  }

  void InsertBefore(Node* position, T* element) {
    Node* node = element;
    assert(!node->IsLinked());
    node->previous_ = position->previous_;
    node->next_ = position;
    position->previous_->next_ = node;
    position->previous_ = node;
    ++size_;
  }

  Node head_;
  size_t size_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_INTRUSIVE_LIST_H_
