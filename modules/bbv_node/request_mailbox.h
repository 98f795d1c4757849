#ifndef MODULES_BBV_NODE_REQUEST_MAILBOX_H_
#define MODULES_BBV_NODE_REQUEST_MAILBOX_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_core/ref_counted.h"
#include "bbv_routing/refusal.h"

namespace bbv {

// Tokens and status that have arrived for a caller since the previous Take().
struct Delivery {
  // Index of tokens[0], counted from the first generated token.
  uint32_t first_index = 0;
  std::vector<uint64_t> tokens;
  bool finished = false;
  std::optional<Refusal> refusal;

  bool is_final() const { return finished || refusal.has_value(); }
};

// Queue that passes tokens from the control thread to a caller's HTTP thread.
//
// Thread safety: all methods may be called from any thread.
class RequestMailbox : public RefCounted {
 public:
  // `next_index` is the index of the first token that the caller has not
  // received.
  explicit RequestMailbox(uint32_t next_index) : next_index_(next_index) {}

  // Adds tokens that follow those added before. Tokens that the caller has are
  // skipped, and so are tokens after a gap, with the end that they bring: while
  // a caller reconnects, its request may produce tokens before those that the
  // caller misses are delivered.
  void PutTokens(uint32_t first_index,
                 std::span<const uint64_t> tokens,
                 bool finished);
  void PutRefusal(const Refusal& refusal);

  // Waits until `deadline` for tokens or the end of the request and returns all
  // that is pending. Returns an empty Delivery on timeout.
  Delivery Take(Instant deadline);

 private:
  std::mutex mutex_;
  std::condition_variable delivery_available_;
  uint32_t next_index_;
  Delivery pending_;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_REQUEST_MAILBOX_H_
