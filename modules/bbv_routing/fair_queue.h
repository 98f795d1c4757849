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

// Queue that orders items by priority, then by weighted fair share between
// client accounts (start-time fair queueing), then by arrival.
//
// T must derive from IntrusiveNode and have the members `account`
// (std::string), `weight` (uint32_t, above 0), `priority` (an integer, higher
// first) and `cost` (uint64_t). The flow of an account that was idle starts at
// the current virtual time, so unused share goes to other accounts immediately
// and is not accumulated. Thread safety: none, owned by the control thread.
template <typename T>
class FairQueue {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

  // Adds `item`. Precondition: it is in no list.
  void Push(T* item) {
    assert(item->weight > 0);
    Flow& flow = flows_[{item->priority, item->account}];
    if (flow.items.empty())
      flow.start_time = std::max(flow.start_time, virtual_time_);
    flow.items.PushBack(item);
    ++size_;
  }

  // Returns the next item. Precondition: not empty.
  T* Front() { return FindNextFlow()->second.items.Front(); }

  // Removes and returns the next item. Precondition: not empty.
  T* Pop() {
    const auto selected = FindNextFlow();
    Flow& flow = selected->second;
    T* item = flow.items.PopFront();
    virtual_time_ = flow.start_time;
    flow.start_time += item->cost * kVirtualTimeScale / item->weight;
    --size_;
    if (flow.items.empty())
      RemoveIdleFlows();
    return item;
  }

  // Removes `item` from any position. Precondition: it is in this queue.
  void Remove(T* item) {
    flows_.at({item->priority, item->account}).items.Remove(item);
    --size_;
  }

 private:
  static constexpr uint64_t kVirtualTimeScale = 1024;

  struct FlowKey {
    int priority = 0;
    std::string account;
    bool operator<(const FlowKey& other) const {
      if (priority != other.priority)
        return priority > other.priority;
      return account < other.account;
    }
  };

  struct Flow {
    IntrusiveList<T> items;
    uint64_t start_time = 0;
  };

  using Flows = std::map<FlowKey, Flow>;

  // Returns the flow with the earliest start time among the non-empty flows of
  // the highest priority.
  typename Flows::iterator FindNextFlow() {
    assert(!empty());
    auto selected = flows_.end();
    for (auto it = flows_.begin(); it != flows_.end(); ++it) {
      if (it->second.items.empty())
        continue;
      const bool first = selected == flows_.end();
      if (!first && it->first.priority != selected->first.priority)
        break;
      if (first || it->second.start_time < selected->second.start_time)
        selected = it;
    }
    return selected;
  }

  // Removes empty flows whose start time is not after the virtual time: they
  // would restart at the virtual time anyway.
  void RemoveIdleFlows() {
    std::erase_if(flows_, [this](const auto& flow) {
      return flow.second.items.empty() &&
             flow.second.start_time <= virtual_time_;
    });
  }

  Flows flows_;
  uint64_t virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_FAIR_QUEUE_H_
