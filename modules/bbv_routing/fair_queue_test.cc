#include "bbv_routing/fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

struct Item : bbv::IntrusiveNode {
  std::string account;
  uint32_t weight = 1;
  uint8_t priority = 5;
  uint64_t cost = 1;
};

}  // namespace

TEST_GROUP(FairQueue) {
  bbv::FairQueue<Item> queue;
  std::vector<std::unique_ptr<Item>> items;

  void Push(const std::string& account, uint32_t weight, uint64_t cost = 10,
            uint8_t priority = 5) {
    auto item = std::make_unique<Item>();
    item->account = account;
    item->weight = weight;
    item->cost = cost;
    item->priority = priority;
    queue.Push(item.get());
    items.push_back(std::move(item));
  }

  // Pops `count` items and returns the number of items per account.
  std::map<std::string, int> PopCounts(int count) {
    std::map<std::string, int> counts;
    for (int it = 0; it < count; ++it)
      ++counts[queue.Pop()->account];
    return counts;
  }

  void teardown() override {
    while (!queue.empty())
      queue.Pop();
  }
};

TEST(FairQueue, SharesByWeight) {
  for (int it = 0; it < 300; ++it) {
    Push("large", 3);
    Push("small", 1);
  }
  auto counts = PopCounts(200);
  CHECK_EQUAL(150, counts["large"]);
  CHECK_EQUAL(50, counts["small"]);
}

TEST(FairQueue, LongQueueDoesNotDelayAnotherAccount) {
  for (int it = 0; it < 1000; ++it)
    Push("large", 1);
  PopCounts(500);
  Push("small", 1);
  auto counts = PopCounts(2);
  CHECK_EQUAL(1, counts["small"]);
}

TEST(FairQueue, UnusedShareIsNotAccumulated) {
  for (int it = 0; it < 400; ++it)
    Push("busy", 1);
  PopCounts(200);
  for (int it = 0; it < 200; ++it)
    Push("returning", 1);
  auto counts = PopCounts(100);
  CHECK_TRUE(counts["busy"] >= 49);
}

TEST(FairQueue, HigherPriorityIsServedFirst) {
  Push("a", 1, 10, 1);
  Push("b", 1, 10, 9);
  STRCMP_EQUAL("b", queue.Pop()->account.c_str());
}

TEST(FairQueue, ShareIsMeasuredInCost) {
  for (int it = 0; it < 100; ++it) {
    Push("heavy", 1, 30);
    Push("light", 1, 10);
  }
  auto counts = PopCounts(80);
  CHECK_EQUAL(60, counts["light"]);
}

TEST(FairQueue, RemovesFromAnyPosition) {
  Push("a", 1);
  Push("b", 1);
  queue.Remove(items[0].get());
  CHECK_EQUAL(1, queue.size());
  STRCMP_EQUAL("b", queue.Front()->account.c_str());
}
