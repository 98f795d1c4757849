#ifndef TESTS_STANDINS_FAKE_ENGINE_H_
#define TESTS_STANDINS_FAKE_ENGINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "bbv_wire/bbv_wire.h"
#include "standins/reference_model.h"

namespace bbv::standins {

// One run of positions [position, position + count) through an engine's
// layers, in order, for one attempt.
struct EngineTraceRow {
  RequestId request;
  uint64_t attempt_number = 0;
  uint32_t position = 0;
  uint32_t count = 0;
  uint32_t first_layer = 0;
  uint32_t end_layer = 0;
};

// A model engine that holds a range of layers; pure, with no sockets, so that
// scenarios and the stand-in process share it.
//
// Thread safety: none.
class FakeEngine {
 public:
  struct Options {
    std::string model;
    uint32_t layers = 0;
    uint32_t first_layer = 0;
    uint32_t end_layer = 0;
    bool honours_fence = true;
    // Whether each attempt draws other tokens from the same values.
    bool sampled = false;
  };

  explicit FakeEngine(Options options);

  // Runs one iteration; every value is traced as it is run.
  wire::EngineResultsT RunStep(const wire::EngineBatchT& batch);

  // Loads a version; false when the fence is honoured and too low.
  bool Load(const std::string& version, uint64_t fence);

  const std::vector<std::string>& loaded() const { return loaded_; }
  const Options& options() const { return options_; }

  // Called with each row as it is run.
  std::function<void(const EngineTraceRow&)> on_trace;

 private:
  struct Sequence {
    uint64_t attempt_number = 0;
    uint32_t next_position = 0;
    std::vector<LayerState> states;
  };

  wire::EngineResultT RunOne(const wire::StepT& step, uint64_t weights);

  Options options_;
  std::vector<std::string> loaded_;
  uint64_t fence_ = 0;
  std::unordered_map<RequestId, Sequence, RequestIdHash> sequences_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FAKE_ENGINE_H_
