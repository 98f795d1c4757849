#ifndef MODULES_BBV_ROUTING_ADAPTIVE_LIMIT_H_
#define MODULES_BBV_ROUTING_ADAPTIVE_LIMIT_H_

#include <cstddef>
#include <cstdint>

namespace bbv {

// How many sequences a side should hold so that its engine's batches are full
// and none waits for long: a sequence is away at the other stages most of the
// time, so this is several batches and depends on their speed.
//
// Grows by one an iteration while batches are not full and shrinks by one
// while more than a quarter of a batch stays behind.
// Thread safety: none, owned by the control thread.
class AdaptiveLimit {
 public:
  // Starts at two batches. Precondition: 0 < batch and 0 < maximum.
  AdaptiveLimit(uint32_t batch, uint32_t maximum);

  // Takes one iteration: sequences in it, sequences that were ready but did
  // not fit, and sequences admitted.
  void Observe(std::size_t in_batch,
               std::size_t unscheduled,
               std::size_t admitted);

  uint32_t limit() const { return limit_; }

 private:
  uint32_t batch_;
  uint32_t maximum_;
  uint32_t minimum_;
  uint32_t limit_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_ADAPTIVE_LIMIT_H_
