#ifndef MODULES_BBV_ROUTING_FAIR_QUEUE_H_
#define MODULES_BBV_ROUTING_FAIR_QUEUE_H_

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "bbv_core/intrusive_list.h"

namespace bbv {

// Orders waiting items by priority, then by weighted fair share between client
// accounts (start-time fair queueing), then by arrival.
//
// T must derive from IntrusiveNode and have members `account` (std::string),
// `weight` (uint32_t, above 0), `priority` (uint8_t, higher first) and `cost`
// (uint64_t). An account that was idle starts at the present virtual time, so
// unused share is lent at once and not claimed back later.
// Thread safety: none, owned by the control thread.
template <typename T>
class FairQueue {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

  // Adds `item`. Precondition: it stands in no list.
  void Push(T* item) {
    assert(item->weight > 0);
    Lane& lane = lanes_[{item->priority, item->account}];
    if (lane.items.empty())
      lane.start_time = std::max(lane.start_time, virtual_time_);
    lane.items.PushBack(item);
    ++size_;
  }

  // Returns the item that is due. Precondition: not empty.
  T* Front() { return FindDueLane()->second.items.Front(); }

  // Removes and returns the item that is due. Precondition: not empty.
  T* Pop() {
    const auto due = FindDueLane();
    Lane& lane = due->second;
    T* item = lane.items.PopFront();
    virtual_time_ = lane.start_time;
    lane.start_time += item->cost * kScale / item->weight;
    --size_;
    if (lane.items.empty())
      ForgetIdleLanes();
    return item;
  }

  // Removes `item` out of turn. Precondition: it stands in this queue.
  void Remove(T* item) {
    lanes_.at({item->priority, item->account}).items.Remove(item);
    --size_;
  }

 private:
  static constexpr uint64_t kScale = 1024;

  struct LaneKey {
    uint8_t priority = 0;
    std::string account;
    bool operator<(const LaneKey& other) const {
      if (priority != other.priority)
        return priority > other.priority;
      return account < other.account;
    }
  };

  struct Lane {
    IntrusiveList<T> items;
    uint64_t start_time = 0;
  };

  using Lanes = std::map<LaneKey, Lane>;

  // Returns the lane of the highest waiting priority with the least time.
  typename Lanes::iterator FindDueLane() {
    assert(!empty());
    auto due = lanes_.end();
    for (auto it = lanes_.begin(); it != lanes_.end(); ++it) {
      if (it->second.items.empty())
        continue;
      const bool first = due == lanes_.end();
      if (!first && it->first.priority != due->first.priority)
        break;
      if (first || it->second.start_time < due->second.start_time)
        due = it;
    }
    return due;
  }

  // Drops empty lanes whose time has been overtaken: they would start afresh.
  void ForgetIdleLanes() {
    std::erase_if(lanes_, [this](const auto& lane) {
      return lane.second.items.empty() &&
             lane.second.start_time <= virtual_time_;
    });
  }

  Lanes lanes_;
  uint64_t virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_FAIR_QUEUE_H_
