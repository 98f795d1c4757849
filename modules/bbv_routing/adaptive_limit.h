#ifndef MODULES_BBV_ROUTING_ADAPTIVE_LIMIT_H_
#define MODULES_BBV_ROUTING_ADAPTIVE_LIMIT_H_

#include <cstddef>
#include <cstdint>

namespace bbv {

// Adaptive concurrency limit: the number of sequences a side should admit so
// that its engine's batches are full and no sequence waits long. A sequence
// spends most of its time at the other stages, so the limit is several batches
// and depends on the speed of those stages.
//
// Increases by one per iteration while batches are not full, and decreases by
// one while more than a quarter of a batch is left unscheduled. Thread safety:
// none, owned by the control thread.
class AdaptiveLimit {
 public:
  // The initial limit is two batches. Precondition: 0 < batch and 0 < maximum.
  AdaptiveLimit(uint32_t batch, uint32_t maximum);

  // Updates the limit after an iteration, given the number of sequences in its
  // batch, of sequences that were ready but did not fit, and of sequences
  // admitted.
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
