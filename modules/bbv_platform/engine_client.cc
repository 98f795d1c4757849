#include "bbv_platform/engine_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bbv_core/json_text.h"

namespace bbv {
namespace {

bool IsResultOf(const wire::StepT& step, const wire::EngineResultT& result) {
  // Only a step that was run needs to name its position.
  return result.request == step.request &&
         result.attempt_number == step.attempt_number &&
         (result.status != wire::EngineStatus::kDone ||
          result.position == step.position);
}

// Whether there is exactly one result for each step, in any order.
bool AreResultsOf(const wire::EngineBatchT& batch,
                  const wire::EngineResultsT& results) {
  return batch.steps.size() == results.results.size() &&
         std::all_of(batch.steps.begin(), batch.steps.end(),
                     [&results](const wire::StepT& step) {
                       return std::any_of(
                           results.results.begin(), results.results.end(),
                           [&step](const wire::EngineResultT& result) {
                             return IsResultOf(step, result);
                           });
                     });
}

}  // namespace

EngineClient::EngineClient(const SocketAddress& address, Milliseconds timeout)
    : connection_(address, Operation::kEngineStep, timeout) {}

Result<wire::EngineResultsT> EngineClient::RunStep(
    const wire::EngineBatchT& batch) {
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(wire::EngineBatch::Pack(builder, &batch));
  const std::string body(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize());
  const auto response =
      connection_.Post("/v1/step", body, "application/octet-stream");
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->head.status != 200)
    return Fail(Operation::kEngineStep, connection_.peer(),
                "status " + std::to_string(response->head.status));
  const auto* bytes = reinterpret_cast<const uint8_t*>(response->body.data());
  flatbuffers::Verifier verifier(bytes, response->body.size());
  if (!verifier.VerifyBuffer<wire::EngineResults>(nullptr))
    return Fail(Operation::kEngineStep, connection_.peer(),
                "results fail FlatBuffers verification");
  wire::EngineResultsT results;
  flatbuffers::GetRoot<wire::EngineResults>(bytes)->UnPackTo(&results);
  if (!AreResultsOf(batch, results)) {
    // The results of this batch may still arrive on the connection.
    connection_.Abort();
    return Fail(Operation::kEngineStep, connection_.peer(),
                "results of other steps");
  }
  return results;
}

Result<std::vector<std::string>> EngineClient::Load(const std::string& model,
                                                    const std::string& version,
                                                    uint32_t first_layer,
                                                    uint32_t end_layer,
                                                    uint64_t fence) {
  const nlohmann::json order = {{"model", model},
                                {"version", version},
                                {"first_layer", first_layer},
                                {"end_layer", end_layer},
                                {"fence", fence}};
  const auto response =
      connection_.Post("/v1/load", order.dump(), "application/json");
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->head.status != 200)
    return Fail(Operation::kEngineOrder, connection_.peer(),
                "status " + std::to_string(response->head.status) + " " +
                    response->body);
  if (IsJsonTooDeep(response->body))
    return Fail(Operation::kEngineOrder, connection_.peer(), "nested too deep");
  try {
    return nlohmann::json::parse(response->body)
        .at("loaded")
        .get<std::vector<std::string>>();
  } catch (const nlohmann::json::exception& error) {
    return Fail(Operation::kEngineOrder, connection_.peer(), error.what());
  }
}

}  // namespace bbv
