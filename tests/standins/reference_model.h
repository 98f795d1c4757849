#ifndef TESTS_STANDINS_REFERENCE_MODEL_H_
#define TESTS_STANDINS_REFERENCE_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bbv::standins {

// The stand-in model: every token depends on each layer having run once and in
// order on each earlier position of that very prompt.

// One layer's memory of the positions it has run.
using LayerState = uint64_t;

// Returns the value that enters layer 0 for `token`.
uint64_t Embed(uint64_t token);

// Runs one layer on one position and advances its state.
uint64_t RunLayer(uint64_t weights,
                  uint32_t layer,
                  uint64_t value,
                  LayerState* state);

// Returns the token that the value leaving the last layer stands for.
uint64_t ToToken(uint64_t value);

// As ToToken(), but sampled: each attempt draws another token from a value.
uint64_t SampleToken(uint64_t value, uint64_t attempt_number);

// Returns the number that stands for a version's weights.
uint64_t WeightsOf(const std::string& model, const std::string& version);

// Returns `count` tokens that follow `prompt`, computed directly.
std::vector<uint64_t> Generate(uint64_t weights,
                               uint32_t layers,
                               const std::vector<uint64_t>& prompt,
                               uint32_t count);

// Follows one answer token by token, for samples that depend on the attempt.
//
// Thread safety: none.
class ReferenceSequence {
 public:
  ReferenceSequence(uint64_t weights,
                    uint32_t layers,
                    const std::vector<uint64_t>& prompt);

  // Returns the token that `attempt_number` would generate next.
  uint64_t Next(uint64_t attempt_number) const;

  // Appends a token that was generated.
  void Append(uint64_t token);

 private:
  uint64_t weights_;
  std::vector<LayerState> states_;
  uint64_t value_ = 0;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_REFERENCE_MODEL_H_
