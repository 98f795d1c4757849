// One stand-in of what surrounds the system; for tests, benches and examples.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "standins/fleet_standin.h"
#include "standins/http_standins.h"

ABSL_FLAG(std::string,
          role,
          "",
          "log, instances, weights, engine, service or fleet");
ABSL_FLAG(int, port, 0, "HTTP port on 127.0.0.1");
ABSL_FLAG(std::string, trace, "", "File for what an engine or service ran");
ABSL_FLAG(int, interval_ms, 0, "weights: time between two loads");
ABSL_FLAG(int, weights_port, 0, "engine: port of the weight store, 0 for none");
ABSL_FLAG(std::string, model, "assistant", "engine: model");
ABSL_FLAG(int, layers, 12, "engine: layers of the whole model");
ABSL_FLAG(int, first_layer, 0, "engine: first layer held");
ABSL_FLAG(int, end_layer, 12, "engine: layer after the last one held");
ABSL_FLAG(int, step_us, 0, "engine: microseconds an iteration");
ABSL_FLAG(int, token_us, 0, "engine: microseconds a value");
ABSL_FLAG(bool, honours_fence, true, "engine: refuse lower fencing numbers");

namespace {

using namespace bbv::standins;  // NOLINT

std::unique_ptr<HttpStandin> MakeEngine() {
  FakeEngine::Options options;
  options.model = absl::GetFlag(FLAGS_model);
  options.layers = absl::GetFlag(FLAGS_layers);
  options.first_layer = absl::GetFlag(FLAGS_first_layer);
  options.end_layer = absl::GetFlag(FLAGS_end_layer);
  options.honours_fence = absl::GetFlag(FLAGS_honours_fence);
  return std::make_unique<EngineService>(
      options,
      EngineService::Timing{absl::GetFlag(FLAGS_step_us),
                            absl::GetFlag(FLAGS_token_us)},
      absl::GetFlag(FLAGS_weights_port), absl::GetFlag(FLAGS_trace));
}

std::unique_ptr<HttpStandin> MakeStandin(const std::string& role) {
  if (role == "log")
    return std::make_unique<LogService>();
  if (role == "instances")
    return std::make_unique<InstanceList>();
  if (role == "weights")
    return std::make_unique<WeightStore>(absl::GetFlag(FLAGS_interval_ms));
  if (role == "engine")
    return MakeEngine();
  if (role == "service")
    return std::make_unique<PlainService>(absl::GetFlag(FLAGS_trace));
  return nullptr;
}

// A store and targets that forward among themselves, until a signal.
int RunFleet(const sigset_t& signals) {
  FleetStore store;
  FleetTargets targets(&store, FleetTargets::Options{});
  if (!store.Start(absl::GetFlag(FLAGS_port)) || !targets.Start()) {
    std::fprintf(stderr, "cannot listen\n");
    return 4;
  }
  store.Put("keyed.op", "config", targets.MakeConfiguration(1));
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (absl::GetFlag(FLAGS_role) == "fleet")
    return RunFleet(signals);
  const auto standin = MakeStandin(absl::GetFlag(FLAGS_role));
  if (!standin) {
    std::fprintf(stderr, "unknown --role\n");
    return 2;
  }
  if (!standin->Start(absl::GetFlag(FLAGS_port))) {
    std::fprintf(stderr, "cannot listen on port %d\n",
                 absl::GetFlag(FLAGS_port));
    return 4;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  // Open long polls would hold a graceful end up.
  std::_Exit(0);
}
