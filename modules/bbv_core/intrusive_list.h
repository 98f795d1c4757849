#ifndef MODULES_BBV_CORE_INTRUSIVE_LIST_H_
#define MODULES_BBV_CORE_INTRUSIVE_LIST_H_

#include <cassert>
#include <cstddef>

namespace bbv {

// Base class of objects that can be linked into an IntrusiveList, one at a
// time. An object must be unlinked before it is destroyed.
class IntrusiveNode {
 public:
  IntrusiveNode() = default;
  IntrusiveNode(const IntrusiveNode&) = delete;
  IntrusiveNode& operator=(const IntrusiveNode&) = delete;
  ~IntrusiveNode() { assert(!is_linked()); }

  // Returns whether the object is linked into a list.
  bool is_linked() const { return next_ != nullptr; }

 private:
  template <typename T>
  friend class IntrusiveList;
  IntrusiveNode* previous_ = nullptr;
  IntrusiveNode* next_ = nullptr;
};

// A doubly linked list whose links are stored in the elements. It does not own
// its elements.
//
// T must derive from IntrusiveNode. Not thread safe.
template <typename T>
class IntrusiveList {
 public:
  IntrusiveList() {
    sentinel_.previous_ = &sentinel_;
    sentinel_.next_ = &sentinel_;
  }
  IntrusiveList(const IntrusiveList&) = delete;
  IntrusiveList& operator=(const IntrusiveList&) = delete;
  ~IntrusiveList() {
    while (!empty())
      PopFront();
    sentinel_.next_ = nullptr;
  }

  bool empty() const { return sentinel_.next_ == &sentinel_; }
  std::size_t size() const { return size_; }

  // Appends `item`. Precondition: `item` is not linked into any list.
  void PushBack(T* item) {
    assert(!item->is_linked());
    IntrusiveNode* node = item;
    node->previous_ = sentinel_.previous_;
    node->next_ = &sentinel_;
    sentinel_.previous_->next_ = node;
    sentinel_.previous_ = node;
    ++size_;
  }

  // Returns the first item. Precondition: the list is not empty.
  T* Front() {
    assert(!empty());
    return static_cast<T*>(sentinel_.next_);
  }

  // Removes and returns the first item. Precondition: the list is not empty.
  T* PopFront() {
    T* item = Front();
    Remove(item);
    return item;
  }

  // Removes `item`. Precondition: `item` is linked into this list.
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
  IntrusiveNode sentinel_;
  std::size_t size_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_CORE_INTRUSIVE_LIST_H_
