// Command-line tool for operators; see docs/OPERATORS.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bbv_config/bbv_config.h"
#include "bbv_core/event.h"
#include "bbv_node/caller_authentication.h"
#include "bbv_observe/log_explainer.h"
#include "bbv_observe/loss_table.h"
#include "bbv_platform/http_connection.h"
#include "bbv_settings/bbv_settings.h"

ABSL_FLAG(std::string,
          entry,
          "127.0.0.1:8080",
          "HTTP address of any entry, as IP:PORT");
ABSL_FLAG(std::string,
          operator_key_file,
          "",
          "File whose first line is the operator key");

ABSL_FLAG(bool, json, false, "explain, losses: print JSON");
ABSL_FLAG(int, span_ms, 2000, "losses: length of a time span in milliseconds");

namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFaults = 3;
constexpr int kExitNoAnswer = 4;
constexpr bbv::Milliseconds kEntryTimeout{15'000};

using Arguments = std::vector<std::string>;

// Prints `message` as an error and returns `code`.
int FailWith(int code, const std::string& message) {
  std::fprintf(stderr, "bluebellvalve: %s\n", message.c_str());
  return code;
}

std::string ReadFirstLine(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

// Prints the faults found in the file and returns the exit code.
int PrintFaults(const std::string& path, const bbv::SettingsFaults& faults) {
  for (const bbv::SettingsFault& fault : faults)
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  if (!faults.empty())
    return kExitFaults;
  std::printf("%s: no faults\n", path.c_str());
  return kExitOk;
}

int RunCheck(const Arguments& arguments) {
  const std::string& path = arguments[0];
  bbv::SettingsFaults faults;
  const auto table = bbv::ParseTomlFile(path, &faults);
  if (table && (*table)["node"]["role"] == "fleet-entry")
    bbv::LoadFleetSettings(path, &faults);
  else if (table && table->contains("node"))
    bbv::LoadNodeSettings(path, &faults);
  else if (table)
    bbv::LoadConfigurationFile(path, &faults);
  return PrintFaults(path, faults);
}

// Sends a request to the entry and returns an exit code. `answer` is set only
// if that is 0 or 1.
int SendToEntry(const std::string& method,
                const std::string& path,
                const std::string& body,
                json* answer) {
  const auto address = bbv::ParseSocketAddress(absl::GetFlag(FLAGS_entry));
  if (!address)
    return FailWith(kExitUsage, "--entry must be IP:PORT");
  bbv::HttpConnection connection(*address, bbv::Operation::kOperator,
                                 kEntryTimeout);
  bbv::HttpHead head;
  head.method = method;
  head.target = path;
  head.fields = {
      {"Authorization",
       "Bearer " + ReadFirstLine(absl::GetFlag(FLAGS_operator_key_file))},
      {"Content-Type", "application/json"}};
  const auto response = connection.Send(head, body);
  if (!response)
    return FailWith(kExitNoAnswer, response.error().ToString());
  *answer = json::parse(response->body, nullptr, false);
  const int status = response->head.status;
  if (status == 200)
    return kExitOk;
  std::string message = "status " + std::to_string(status);
  if (answer->is_object() && answer->contains("error"))
    message = (*answer)["error"].value("message", message);
  return FailWith(kExitRefused, message);
}

void PrintLines(const json& answer, const char* key) {
  for (const json& line : answer.value(key, json::array()))
    std::printf("  %s\n", line.get<std::string>().c_str());
}

int SendPlan(const json& body) {
  json answer;
  const int code = SendToEntry("POST", "/operator/plans", body.dump(), &answer);
  if (code != kExitOk)
    return code;
  const std::string plan = answer.value("plan", "");
  std::printf("plan %s: %s\n", plan.c_str(),
              answer.value("summary", "").c_str());
  PrintLines(answer, "effects");
  PrintLines(answer, "in_flight");
  std::printf("nothing is changed yet; to apply: bluebellvalve confirm %s\n",
              plan.c_str());
  return kExitOk;
}

int PlanImport(const std::string& path) {
  bbv::SettingsFaults faults;
  const bbv::Configuration wanted = bbv::LoadConfigurationFile(path, &faults);
  if (!faults.empty())
    return PrintFaults(path, faults);
  json entities = json::array();
  for (const bbv::EntityChange& change : wanted.ToChanges()) {
    entities.push_back({{"kind", bbv::kEntityKindNames.Name(change.key.kind)},
                        {"name", change.key.name},
                        {"value", change.value}});
  }
  return SendPlan({{"entities", entities}});
}

int RunPlan(const Arguments& arguments) {
  if (arguments[0] == "import") {
    if (arguments.size() != 2)
      return FailWith(kExitUsage, "usage: plan import FILE");
    return PlanImport(arguments[1]);
  }
  return SendPlan(
      {{"verb", arguments[0]},
       {"arguments", Arguments(arguments.begin() + 1, arguments.end())}});
}

int RunConfirm(const Arguments& arguments) {
  json answer;
  const int code = SendToEntry(
      "POST", "/operator/plans/" + arguments[0] + "/confirm", "", &answer);
  if (code != kExitOk)
    return code;
  std::printf("plan %s is confirmed; configuration version %s\n",
              arguments[0].c_str(), answer["version"].dump().c_str());
  return kExitOk;
}

int RunStatus(const Arguments&) {
  json answer;
  const int code = SendToEntry("GET", "/operator/status", "", &answer);
  if (code == kExitOk)
    std::printf("%s\n", answer.dump(2).c_str());
  return code;
}

int RunEvents(const Arguments&) {
  for (const bbv::EventDescription& row : bbv::AllEvents())
    std::printf("BBV%04u %s\n", static_cast<unsigned>(row.event),
                std::string(row.name).c_str());
  return kExitOk;
}

int RunExplain(const Arguments& arguments) {
  bbv::LogExplainer explainer(arguments[0]);
  for (std::size_t it = 1; it < arguments.size(); ++it) {
    std::ifstream file(arguments[it]);
    if (!file)
      return FailWith(kExitUsage, "cannot read " + arguments[it]);
    explainer.Read(&file);
  }
  if (arguments.size() == 1)
    explainer.Read(&std::cin);
  if (!explainer.found())
    return FailWith(kExitRefused, "no line mentions " + arguments[0]);
  std::printf("%s", absl::GetFlag(FLAGS_json) ? explainer.ToJson().c_str()
                                              : explainer.ToText().c_str());
  return kExitOk;
}

int RunLosses(const Arguments& arguments) {
  const int span_ms = absl::GetFlag(FLAGS_span_ms);
  if (span_ms <= 0)
    return FailWith(kExitUsage, "--span_ms must be above 0");
  bbv::LossTable table(span_ms);
  for (const std::string& it : arguments) {
    std::ifstream file(it);
    if (!file)
      return FailWith(kExitUsage, "cannot read " + it);
    table.Read(&file);
  }
  if (arguments.empty())
    table.Read(&std::cin);
  std::printf("%s", absl::GetFlag(FLAGS_json) ? table.ToJson().c_str()
                                              : table.ToText().c_str());
  return kExitOk;
}

int RunHashKey(const Arguments& arguments) {
  const std::string key = ReadFirstLine(arguments[0]);
  if (key.empty())
    return FailWith(kExitUsage, arguments[0] + " has no key in its first line");
  std::printf("%s\n", bbv::Sha256Hexadecimal(key).c_str());
  return kExitOk;
}

int RunVersion(const Arguments&) {
  std::printf("bluebellvalve " BBV_VERSION "\n");
  return kExitOk;
}

struct Command {
  const char* name;
  std::size_t minimum_arguments;
  const char* usage;
  int (*run)(const Arguments&);
};

constexpr std::array<Command, 9> kCommands = {{
    {"check", 1, "check FILE", RunCheck},
    {"plan", 1, "plan import FILE | plan INTENT ARGUMENT...", RunPlan},
    {"confirm", 1, "confirm PLAN", RunConfirm},
    {"status", 0, "status", RunStatus},
    {"events", 0, "events", RunEvents},
    {"explain", 1, "explain ID [FILE...]", RunExplain},
    {"losses", 0, "losses [FILE...]", RunLosses},
    {"hash-key", 1, "hash-key FILE", RunHashKey},
    {"version", 0, "version", RunVersion},
}};

std::string Usage() {
  std::string usage = "Operates a bluebellvalve installation.\n";
  for (const Command& command : kCommands)
    usage += std::string("  bluebellvalve ") + command.usage + "\n";
  for (const std::string& intent : bbv::IntentUsages())
    usage += "  bluebellvalve plan " + intent + "\n";
  usage +=
      "exit codes: 0 done, 1 refused, 2 usage, 3 faults found, 4 no answer";
  return usage;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(Usage());
  absl::FlagsUsageConfig config;
  config.version_string = [] {
    return std::string("bluebellvalve " BBV_VERSION "\n");
  };
  config.contains_help_flags = [](absl::string_view) { return true; };
  absl::SetFlagsUsageConfig(config);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const Arguments positional_arguments(positional.begin() + 1,
                                       positional.end());
  for (const Command& command : kCommands) {
    if (positional_arguments.empty() || positional_arguments[0] != command.name)
      continue;
    const Arguments arguments(positional_arguments.begin() + 1,
                              positional_arguments.end());
    if (arguments.size() < command.minimum_arguments)
      return FailWith(kExitUsage, std::string("usage: ") + command.usage);
    return command.run(arguments);
  }
  return FailWith(kExitUsage, Usage());
}
