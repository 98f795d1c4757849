// Cost of the configuration at several sizes: bytes of a snapshot, time of one
// change on a node, and time of a start from a snapshot.

#include <chrono>
#include <vector>

#include "bbv_config/bbv_config.h"
#include "bench_support.h"

namespace {

using Clock = std::chrono::steady_clock;
using Row = nlohmann::ordered_json;

constexpr int kChanges = 20;

double Milliseconds(Clock::time_point since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since)
      .count();
}

bbv::Configuration MakeConfiguration(int accounts, int targets) {
  bbv::Configuration configuration;
  configuration.models["m"] = {"m", 4, "v1"};
  for (int it = 0; it < accounts; ++it) {
    const std::string name = "account-" + std::to_string(it);
    configuration.accounts[name] = {name, std::string(64, 'a'), 1, 5};
  }
  for (int it = 0; it < targets; ++it) {
    bbv::Target target;
    target.name = "target-" + std::to_string(it);
    target.address = "127.0.0.1:7000";
    target.zone = "zone";
    target.model = "m";
    target.first_layer = it % 4;
    target.end_layer = target.first_layer + 1;
    configuration.targets[target.name] = target;
  }
  return configuration;
}

// Appends a plan and its confirmation to the fold.
void ApplyPlan(bbv::ConfigurationFold* fold, const bbv::Plan& plan) {
  (void)fold->Apply(fold->next_offset(), bbv::MakePlanRecord(plan));
  (void)fold->Apply(fold->next_offset(), bbv::MakeConfirmRecord(plan.id));
}

Row Measure(int accounts, int targets) {
  bbv::ConfigurationFold fold;
  ApplyPlan(&fold, bbv::MakeImportPlan(
                       fold, MakeConfiguration(accounts, targets), "p-0"));
  const auto changes = Clock::now();
  for (int it = 1; it <= kChanges; ++it) {
    const auto plan =
        bbv::MakePlan(fold, {"share", {"account-1", std::to_string(it + 1)}},
                      "p-" + std::to_string(it));
    ApplyPlan(&fold, *plan);
  }
  Row row;
  row["accounts"] = accounts;
  row["targets"] = targets;
  row["ms/change"] = Milliseconds(changes) / kChanges;
  const std::string snapshot = fold.Snapshot();
  row["snapshot bytes"] = snapshot.size();
  const auto start = Clock::now();
  bbv::ConfigurationFold restored;
  (void)restored.Restore(snapshot);
  row["ms/start"] = Milliseconds(start);
  return row;
}

}  // namespace

int main() {
  bbv::PrintRows({Measure(10, 43), Measure(210, 64), Measure(2100, 640)});
  return 0;
}
