#ifndef MODULES_BBV_CORE_INTRUSIVE_LIST_H_
#define MODULES_BBV_CORE_INTRUSIVE_LIST_H_

#include <cassert>
#include <cstddef>

namespace bbv {

// Base of objects that can stand in one IntrusiveList at a time. An object
// must leave its list before it is destroyed.
class IntrusiveNode {
 public:
  IntrusiveNode() = default;
  IntrusiveNode(const IntrusiveNode&) = delete;
  IntrusiveNode& operator=(const IntrusiveNode&) = delete;
  ~IntrusiveNode() { assert(!is_linked()); }

  // Returns whether the object stands in a list.
  bool is_linked() const { return next_ != nullptr; }

 private:
  template <typename T>
  friend class IntrusiveList;
  IntrusiveNode* previous_ = nullptr;
  IntrusiveNode* next_ = nullptr;
};

// Doubly linked list through its members; it owns none of them.
//
// T must derive from IntrusiveNode. Thread safety: none, one thread at a time.
template <typename T>
class IntrusiveList {
 public:
  IntrusiveList() {
    head_.previous_ = &head_;
    head_.next_ = &head_;
  }
  IntrusiveList(const IntrusiveList&) = delete;
  IntrusiveList& operator=(const IntrusiveList&) = delete;
  ~IntrusiveList() {
    while (!empty())
      PopFront();
    head_.next_ = nullptr;
  }

  bool empty() const { return head_.next_ == &head_; }
  std::size_t size() const { return size_; }

  // Adds `item` at the end. Precondition: it stands in no list.
  void PushBack(T* item) {
    assert(!item->is_linked());
    IntrusiveNode* node = item;
    node->previous_ = head_.previous_;
    node->next_ = &head_;
    head_.previous_->next_ = node;
    head_.previous_ = node;
    ++size_;
  }

  // Returns the first item. Precondition: the list is not empty.
  T* Front() {
    assert(!empty());
    return static_cast<T*>(head_.next_);
  }

  // Removes and returns the first item. Precondition: the list is not empty.
  T* PopFront() {
    T* item = Front();
    Remove(item);
    return item;
  }

  // Removes `item`. Precondition: it stands in this list.
  void Remove(T* item) {
    assert(item->is_linked());
    IntrusiveNode* node = item;
    node->previous_->next_ = node->next_;
    node->next_->previous_ = node->previous_;
    node->previous_ = nullptr;
    node->next_ = nullptr;
    --size_;
  }

 private:
  IntrusiveNode head_;
  std::size_t size_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_CORE_INTRUSIVE_LIST_H_
