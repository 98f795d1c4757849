#include "standins/reference_model.h"

#include "bbv_core/hashing.h"

namespace bbv::standins {
namespace {

constexpr uint64_t kVocabulary = 50'000;

}  // namespace

uint64_t Embed(uint64_t token) {
  return HashPair(token, 1);
}

uint64_t RunLayer(uint64_t weights,
                  uint32_t layer,
                  uint64_t value,
                  LayerState* state) {
  *state = HashPair(*state, HashPair(value, layer + 2));
  return HashPair(value, *state ^ weights);
}

uint64_t ToToken(uint64_t value) {
  return value % kVocabulary;
}

uint64_t WeightsOf(const std::string& model, const std::string& version) {
  return HashBytes(model + "@" + version);
}

std::vector<uint64_t> Generate(uint64_t weights,
                               uint32_t layers,
                               const std::vector<uint64_t>& prompt,
                               uint32_t count) {
  std::vector<LayerState> states(layers, 0);
  std::vector<uint64_t> tokens;
  uint64_t value = 0;
  const auto run = [&](uint64_t token) {
    value = Embed(token);
    for (uint32_t layer = 0; layer < layers; ++layer)
      value = RunLayer(weights, layer, value, &states[layer]);
  };
  for (const uint64_t token : prompt)
    run(token);
  while (tokens.size() < count) {
    tokens.push_back(ToToken(value));
    run(tokens.back());
  }
  return tokens;
}

}  // namespace bbv::standins
