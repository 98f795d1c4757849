#include "standins/reference_model.h"

#include "bbv_core/hashing.h"

namespace bbv::standins {
namespace {

constexpr uint64_t kVocabulary = 50'000;

}  // namespace

uint64_t Embed(uint64_t token) {
  return CombineHashes(token, 1);
}

uint64_t RunLayer(uint64_t weights,
                  uint32_t layer,
                  uint64_t value,
                  LayerState* state) {
  *state = CombineHashes(*state, CombineHashes(value, layer + 2));
  return CombineHashes(value, *state ^ weights);
}

uint64_t ToToken(uint64_t value) {
  return value % kVocabulary;
}

uint64_t WeightsOf(const std::string& model, const std::string& version) {
  return HashBytes(model + "@" + version);
}

uint64_t SampleToken(uint64_t value, uint64_t attempt_number) {
  return ToToken(CombineHashes(value, attempt_number));
}

ReferenceSequence::ReferenceSequence(uint64_t weights,
                                     uint32_t layers,
                                     const std::vector<uint64_t>& prompt)
    : weights_(weights), states_(layers, 0) {
  for (const uint64_t token : prompt)
    Append(token);
}

uint64_t ReferenceSequence::Next(uint64_t attempt_number) const {
  return attempt_number == 0 ? ToToken(value_)
                             : SampleToken(value_, attempt_number);
}

void ReferenceSequence::Append(uint64_t token) {
  value_ = Embed(token);
  for (uint32_t layer = 0; layer < states_.size(); ++layer)
    value_ = RunLayer(weights_, layer, value_, &states_[layer]);
}

std::vector<uint64_t> Generate(uint64_t weights,
                               uint32_t layers,
                               const std::vector<uint64_t>& prompt,
                               uint32_t count) {
  ReferenceSequence sequence(weights, layers, prompt);
  std::vector<uint64_t> tokens;
  while (tokens.size() < count) {
    tokens.push_back(sequence.Next(0));
    sequence.Append(tokens.back());
  }
  return tokens;
}

}  // namespace bbv::standins
