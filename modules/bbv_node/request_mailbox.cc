#include "bbv_node/request_mailbox.h"

#include <utility>

namespace bbv {

void RequestMailbox::PutTokens(uint32_t first_index,
                               std::span<const uint64_t> tokens,
                               bool finished) {
  {
    const std::scoped_lock lock(mutex_);
    if (pending_.tokens.empty())
      pending_.first_index = first_index;
    pending_.tokens.insert(pending_.tokens.end(), tokens.begin(), tokens.end());
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
