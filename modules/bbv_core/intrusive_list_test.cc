#include "bbv_core/intrusive_list.h"

#include <CppUTest/TestHarness.h>

#include "bbv_core/ref_counted.h"

namespace {

struct Item : bbv::IntrusiveNode {};

struct Counted : bbv::RefCounted {
  explicit Counted(int* alive_count) : alive(alive_count) { ++*alive; }
  ~Counted() override { --*alive; }
  int* alive;
};

}  // namespace

TEST_GROUP(IntrusiveList){};

TEST(IntrusiveList, KeepsOrderAndRemovesFromTheMiddle) {
  Item first;
  Item second;
  Item third;
  bbv::IntrusiveList<Item> list;
  list.PushBack(&first);
  list.PushBack(&second);
  list.PushBack(&third);
  list.Remove(&second);
  CHECK_FALSE(second.is_linked());
  POINTERS_EQUAL(&first, list.PopFront());
  POINTERS_EQUAL(&third, list.PopFront());
  CHECK_TRUE(list.empty());
}

TEST(IntrusiveList, LastReferenceDeletesTheObjectOnce) {
  int alive = 0;
  {
    auto first = bbv::MakeRefCounted<Counted>(&alive);
    bbv::RefPtr<Counted> second = first;
    first = bbv::RefPtr<Counted>();
    CHECK_EQUAL(1, alive);
    const bbv::RefPtr<Counted> moved = std::move(second);
    CHECK_EQUAL(1, alive);
  }
  CHECK_EQUAL(0, alive);
}
