#ifndef MODULES_BBV_CORE_REF_COUNTED_H_
#define MODULES_BBV_CORE_REF_COUNTED_H_

#include <atomic>
#include <cstdint>
#include <utility>

namespace bbv {

// Base class of objects with an intrusive reference count; see RefPtr.
//
// Thread safety: references can be added and removed from any thread.
class RefCounted {
 public:
  RefCounted() = default;
  RefCounted(const RefCounted&) = delete;
  RefCounted& operator=(const RefCounted&) = delete;

  void AddReference() const {
    reference_count_.fetch_add(1, std::memory_order_relaxed);
  }

  // Removes one reference and deletes the object if it was the last one.
  void RemoveReference() const {
    if (reference_count_.fetch_sub(1, std::memory_order_acq_rel) == 1)
      delete this;
  }

 protected:
  virtual ~RefCounted() = default;

 private:
  mutable std::atomic<uint32_t> reference_count_{0};
};

// A smart pointer that holds one reference to a RefCounted object, or is null.
//
// Thread safety: one RefPtr must not be used concurrently; different RefPtrs to
// the same object can be.
template <typename T>
class RefPtr {
 public:
  RefPtr() = default;
  explicit RefPtr(T* object) : object_(object) {
    if (object_)
      object_->AddReference();
  }
  RefPtr(const RefPtr& other) : RefPtr(other.object_) {}
  RefPtr(RefPtr&& other) noexcept : object_(other.object_) {
    other.object_ = nullptr;
  }
  RefPtr& operator=(RefPtr other) noexcept {
    std::swap(object_, other.object_);
    return *this;
  }
  ~RefPtr() {
    if (object_)
      object_->RemoveReference();
  }

  T* get() const { return object_; }
  T* operator->() const { return object_; }
  T& operator*() const { return *object_; }
  explicit operator bool() const { return object_ != nullptr; }

 private:
  T* object_ = nullptr;
};

// Creates a T and returns the first reference to it. Thread safe.
template <typename T, typename... Arguments>
RefPtr<T> MakeRefCounted(Arguments&&... arguments) {
  return RefPtr<T>(new T(std::forward<Arguments>(arguments)...));
}

}  // namespace bbv

#endif  // MODULES_BBV_CORE_REF_COUNTED_H_
