#include "bbv_node/request_mailbox.h"

#include <algorithm>
#include <utility>

namespace bbv {

void RequestMailbox::PutTokens(uint32_t first_index,
                               std::span<const uint64_t> tokens,
                               bool finished) {
  {
    const std::scoped_lock lock(mutex_);
    if (first_index > next_index_)
      return;
    const auto known =
        std::min<std::size_t>(next_index_ - first_index, tokens.size());
    const auto added = tokens.subspan(known);
    if (pending_.tokens.empty())
      pending_.first_index = next_index_;
    pending_.tokens.insert(pending_.tokens.end(), added.begin(), added.end());
    next_index_ += static_cast<uint32_t>(added.size());
    pending_.finished = finished;
  }
  delivery_available_.notify_one();
}

void RequestMailbox::PutRefusal(const Refusal& refusal) {
  {
    const std::scoped_lock lock(mutex_);
    pending_.refusal = refusal;
  }
  delivery_available_.notify_one();
}

Delivery RequestMailbox::Take(Instant deadline) {
  std::unique_lock lock(mutex_);
  delivery_available_.wait_until(lock, deadline, [this] {
    return !pending_.tokens.empty() || pending_.is_final();
  });
  return std::exchange(pending_, {});
}

}  // namespace bbv
