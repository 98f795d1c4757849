#include "bbv_node/operator_handler.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "bbv_config/intent.h"
#include "bbv_core/json_text.h"
#include "bbv_node/entry_node.h"
#include "bbv_node/http_responses.h"

namespace bbv {
namespace {

using nlohmann::json;

// Maximum time that an operator request waits for its record to be read back.
// Lies within the 9 s that a change may take to come into force.
constexpr Milliseconds kReadBackTimeout{8000};
constexpr Milliseconds kReadBackPollInterval{10};

bool AuthenticateOperator(EntryNode* node,
                          const httplib::Request& http,
                          httplib::Response* response) {
  // Comparing hashes prevents timing attacks on the key.
  if (Sha256Hexadecimal(BearerKey(http)) ==
      Sha256Hexadecimal(node->settings().operator_key))
    return true;
  SetErrorResponse(response, 401, Outcome::kNotRun, "unknown-operator-key",
                   "operator key is not valid");
  return false;
}

json MakePlanResponse(const ConfigurationFold& fold, const Plan& plan) {
  json answer = {{"plan", plan.id}, {"summary", plan.summary}};
  answer["effects"] = DescribePlan(fold, plan);
  return answer;
}

// Describes the running and queued work on each target that the plan changes.
json DescribeInFlight(const EntryLogic& logic, const Plan& plan) {
  json lines = json::array();
  for (const EntityChange& change : plan.changes) {
    const TargetEntry* entry = logic.targets().Find(change.key.name);
    if (change.key.kind != EntityKind::kTarget || entry == nullptr)
      continue;
    lines.push_back(change.key.ToString() + ": running " +
                    std::to_string(entry->running) + ", queued " +
                    std::to_string(entry->queued));
  }
  return lines;
}

// Evaluates `done` on the control thread repeatedly until it returns true.
// Returns false on timeout.
template <typename Done>
bool WaitForReadBack(EntryNode* node, Done done) {
  const Instant deadline = std::chrono::steady_clock::now() + kReadBackTimeout;
  while (!node->control().Call([&](Instant) { return done(node->logic()); })) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kReadBackPollInterval);
  }
  return true;
}

void SetReadBackTimeout(httplib::Response* response) {
  SetErrorResponse(response, 504, Outcome::kUnknown, "not-read-back",
                   "the record was not read back from the log in time; it may "
                   "still take effect: see `bluebellvalve status`");
}

Result<Plan> BuildPlan(const ConfigurationFold& fold,
                       const json& body,
                       const std::string& id) {
  if (!body.contains("entities"))
    return MakePlan(fold,
                    {body.at("verb").get<std::string>(),
                     body.at("arguments").get<std::vector<std::string>>()},
                    id);
  Configuration desired;
  for (const json& row : body.at("entities")) {
    const auto kind = kEntityKindNames.Find(row.at("kind").get<std::string>());
    if (!kind)
      return Fail(Operation::kOperator, "entities", "unknown entity kind");
    const auto applied = desired.Apply(
        {{*kind, row.at("name").get<std::string>()}, row.at("value")});
    if (!applied)
      return tl::make_unexpected(applied.error());
  }
  return MakeImportPlan(fold, desired, id);
}

void HandlePlan(EntryNode* node,
                const httplib::Request& http,
                httplib::Response& response) {
  if (!AuthenticateOperator(node, http, &response))
    return;
  const json body = IsJsonTooDeep(http.body)
                        ? json()
                        : json::parse(http.body, nullptr, false);
  if (!body.is_object()) {
    SetErrorResponse(&response, 400, Outcome::kNotRun, "bad-json",
                     "body must be a JSON object");
    return;
  }
  const std::string id = "p-" + ToString(node->MakeRequestId()).substr(0, 12);
  json answer;
  const auto plan = node->control().Call([&](Instant) -> Result<Plan> {
    const EntryLogic& logic = node->logic();
    try {
      auto built = BuildPlan(logic.sharing().fold(), body, id);
      if (!built)
        return built;
      answer = MakePlanResponse(logic.sharing().fold(), *built);
      answer["in_flight"] = DescribeInFlight(logic, *built);
      return built;
    } catch (const json::exception& error) {
      return Fail(Operation::kOperator, "body", error.what());
    }
  });
  if (!plan) {
    SetErrorResponse(&response, 400, Outcome::kNotRun, "bad-intent",
                     plan.error().ToString());
    return;
  }
  node->AppendConfiguration(MakePlanRecord(*plan));
  const bool read_back = WaitForReadBack(node, [&id](const EntryLogic& logic) {
    return logic.sharing().fold().FindPlan(id) != nullptr;
  });
  if (!read_back) {
    SetReadBackTimeout(&response);
    return;
  }
  response.set_content(answer.dump(), "application/json");
}

void HandleConfirm(EntryNode* node,
                   const httplib::Request& http,
                   httplib::Response& response) {
  if (!AuthenticateOperator(node, http, &response))
    return;
  const std::string id = http.matches[1].str();
  const bool known = node->control().Call([&](Instant) {
    return node->logic().sharing().fold().FindPlan(id) != nullptr;
  });
  if (!known) {
    SetErrorResponse(&response, 404, Outcome::kNotRun, "unknown-plan",
                     "plan not found: " + id);
    return;
  }
  node->AppendConfiguration(MakeConfirmRecord(id));
  PlanOutcome outcome;
  uint64_t version = 0;
  const bool read_back = WaitForReadBack(node, [&](const EntryLogic& logic) {
    outcome = *logic.sharing().fold().FindOutcome(id);
    version = logic.sharing().fold().version();
    return outcome.state != PlanState::kPending;
  });
  if (!read_back) {
    SetReadBackTimeout(&response);
    return;
  }
  if (outcome.state == PlanState::kRejected) {
    SetErrorResponse(&response, 409, Outcome::kNotRun, "plan-rejected",
                     outcome.decided_by);
    return;
  }
  response.set_content(json{{"plan", id}, {"version", version}}.dump(),
                       "application/json");
}

json DescribeTargets(const EntryLogic& logic) {
  json targets = json::array();
  for (const auto& [name, entry] : logic.targets().entries()) {
    targets.push_back({{"name", name},
                       {"state", kTargetStateNames.Name(entry.target.state)},
                       {"connected", entry.connected},
                       {"ready", entry.ready},
                       {"leaving", entry.leaving || entry.listed_leaving},
                       {"versions", entry.loaded_versions},
                       {"running", entry.running},
                       {"queued", entry.queued}});
  }
  return targets;
}

void HandleStatus(EntryNode* node,
                  const httplib::Request& http,
                  httplib::Response& response) {
  if (!AuthenticateOperator(node, http, &response))
    return;
  const json status = node->control().Call([&](Instant) -> json {
    const EntryLogic& logic = node->logic();
    const ConfigurationFold& fold = logic.sharing().fold();
    json entities = json::array();
    for (const EntityChange& change : fold.configuration().ToChanges()) {
      if (change.key.kind != EntityKind::kAccount)
        entities.push_back({{"kind", kEntityKindNames.Name(change.key.kind)},
                            {"name", change.key.name},
                            {"value", change.value}});
    }
    return {{"node", node->settings().name},
            {"version", fold.version()},
            {"digest", fold.digest()},
            {"requests_in_flight", logic.requests().open_requests()},
            {"calls_in_flight", logic.services().open_calls()},
            {"targets", DescribeTargets(logic)},
            {"entities", entities}};
  });
  response.set_content(status.dump(), "application/json");
}

}  // namespace

void AddOperatorRoutes(httplib::Server* server, EntryNode* node) {
  server->Post("/operator/plans", [node](const httplib::Request& http,
                                         httplib::Response& response) {
    HandlePlan(node, http, response);
  });
  server->Post(
      R"(/operator/plans/([a-z0-9-]+)/confirm)",
      [node](const httplib::Request& http, httplib::Response& response) {
        HandleConfirm(node, http, response);
      });
  server->Get("/operator/status", [node](const httplib::Request& http,
                                         httplib::Response& response) {
    HandleStatus(node, http, response);
  });
}

}  // namespace bbv
