#include "virtual_floor.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "virtual_floor_hosts.h"

namespace bbv {

VirtualFloor::VirtualFloor(const FloorShape& shape, uint64_t seed)
    : shape_(shape),
      generator_(seed),
      judge_(standins::WeightsOf(kModel, kVersion), shape.layers) {
  now_ += std::chrono::hours(1);
  const Configuration configuration = MakeConfiguration();
  targets_ = configuration.targets;
  const ConfigurationFold empty;
  log_.Append(kConfigurationStream,
              MakePlanRecord(MakeImportPlan(empty, configuration, "p-0")));
  log_.Append(kConfigurationStream, MakeConfirmRecord("p-0"));
  for (int it = 0; it < shape.entries; ++it) {
    const std::string name = "e" + std::to_string(it);
    hosts_[name] = std::make_unique<Host>(name);
  }
  for (const auto& [name, target] : configuration.targets) {
    hosts_[name] = std::make_unique<Host>(name);
    if (!target.is_engine())
      continue;
    hosts_[name]->engine = std::make_unique<standins::FakeEngine>(
        standins::FakeEngine::Options{kModel, shape.layers, target.first_layer,
                                      target.end_layer, true, true});
    hosts_[name]->engine->on_trace = [this, node = name](const auto& row) {
      judge_.EngineRan(node, row, now_);
    };
  }
  for (const auto& [name, host] : hosts_)
    StartHost(name);
  Heartbeats();
  Ticks();
  RunUntil(now_ + Milliseconds(400));
}

VirtualFloor::~VirtualFloor() = default;

Configuration VirtualFloor::MakeConfiguration() const {
  Configuration configuration;
  for (std::size_t it = 0; it < shape_.account_weights.size(); ++it) {
    const std::string name = AccountName(it);
    configuration.accounts[name] = {name, std::string(64, '0'),
                                    shape_.account_weights[it], 5};
  }
  configuration.models[kModel] = {kModel, shape_.layers, kVersion};
  configuration.services[kService] = {kService, {{"GET", "/"}}};
  const uint32_t span = shape_.layers / shape_.stages;
  for (int stage = 0; stage < shape_.stages; ++stage) {
    for (int replica = 0; replica < shape_.replicas; ++replica) {
      Target target;
      target.name = "t" + std::to_string(stage) + "-" + std::to_string(replica);
      target.address = "127.0.0.1:7000";
      target.zone = "zone-" + std::to_string(replica);
      target.model = kModel;
      target.first_layer = stage * span;
      target.end_layer =
          stage + 1 == shape_.stages ? shape_.layers : (stage + 1) * span;
      target.speed = shape_.speeds[replica % shape_.speeds.size()];
      target.capacity = shape_.maximum_running;
      configuration.targets[target.name] = target;
    }
  }
  for (int it = 0; it < shape_.services; ++it) {
    Target target;
    target.name = "s" + std::to_string(it);
    target.address = "127.0.0.1:7000";
    target.zone = "zone-" + std::to_string(it);
    target.service = kService;
    configuration.targets[target.name] = target;
  }
  return configuration;
}

VirtualFloor::Host* VirtualFloor::Find(const std::string& node) const {
  const auto it = hosts_.find(node);
  assert(it != hosts_.end());
  return it->second.get();
}

void VirtualFloor::StartHost(const std::string& node) {
  Host* host = Find(node);
  if (host->stopping)
    judge_.AllowNewWork(node);
  host->alive = true;
  host->frozen = false;
  host->stopping = false;
  ++host->run;
  host->held.clear();
  host->read_offsets.clear();
  judge_.NodeRestarted(node);
  if (node[0] == 'e') {
    host->entry = std::make_unique<EntryHost>(this, host);
  } else {
    SideOptions options;
    options.target = node;
    options.is_engine = node[0] == 't';
    options.epoch = next_epoch_++;
    options.sequence_limits.maximum_running = shape_.maximum_running;
    options.sequence_limits.maximum_queued = shape_.maximum_queued;
    host->side = std::make_unique<SideHost>(this, host, options);
    if (node[0] == 's')
      host->side->logic.SetLogAvailable(!log_outage_);
  }
  PollLog(host, kConfigurationStream);
  if (node[0] == 's')
    PollLog(host, ClaimStreamName(kService));
}

void VirtualFloor::At(Instant at, std::function<void()> event) {
  events_.push({at, next_order_++, std::move(event)});
}

void VirtualFloor::RunUntil(Instant until) {
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  now_ = until;
}

void VirtualFloor::Post(Host* host,
                        Microseconds delay,
                        std::function<void()> event) {
  const uint64_t run = host->run;
  At(now_ + delay, [host, run, event = std::move(event)] {
    if (!host->alive || host->run != run)
      return;
    if (host->frozen)
      host->held.push_back(event);
    else
      event();
  });
}

void VirtualFloor::AppendToLog(const std::string& stream,
                               const std::string& record,
                               const AppendDone& done) {
  const auto fail = [this, done](Microseconds delay) {
    At(now_ + delay,
       [done] { done(Fail(Operation::kLogAppend, "log", "no answer")); });
  };
  if (log_outage_) {
    fail(kLogTimeout);
    return;
  }
  Microseconds delay = Latency(1000, 4000);
  bool lost = false;
  if (log_delayed_appends_ > 0) {
    --log_delayed_appends_;
    delay = Latency(500'000, 2'500'000);
    lost = true;
  } else if (log_lost_answers_ > 0) {
    --log_lost_answers_;
    lost = true;
  }
  At(now_ + delay, [this, stream, record, done, lost] {
    log_.Append(stream, record);
    Publish(stream);
    if (!lost)
      done({});
  });
  if (lost)
    fail(kLogTimeout);
}

void VirtualFloor::Publish(const std::string& stream) {
  for (const auto& [name, host] : hosts_) {
    const bool follows = stream == kConfigurationStream || name[0] == 's';
    if (follows)
      PollLog(host.get(), stream);
  }
}

void VirtualFloor::PollLog(Host* host, const std::string& stream) {
  Post(host, Latency(500, 20'000), [this, host, stream] {
    if (log_outage_)
      return;
    uint64_t& offset = host->read_offsets[stream];
    const LogRecords records = log_.Read(stream, offset, kReadLimit);
    offset = records.first_offset + records.records.size();
    if (host->entry)
      host->entry->logic.HandleConfigurationRecords(records, now_);
    else if (stream == kConfigurationStream)
      host->side->logic.HandleConfigurationRecords(records, now_);
    else
      host->side->logic.HandleClaimRecords(records, now_);
  });
}

void VirtualFloor::SetLogOutage(bool outage) {
  log_outage_ = outage;
  for (const auto& [name, owned] : hosts_) {
    Host* host = owned.get();
    if (name[0] == 's') {
      Post(host, Latency(1000, 300'000),
           [this, host] { host->side->logic.SetLogAvailable(!log_outage_); });
    }
  }
  if (!outage) {
    Publish(kConfigurationStream);
    Publish(ClaimStreamName(kService));
  }
}

void VirtualFloor::TrimLog(const std::string& stream, uint64_t offset) {
  log_.Trim(stream, offset);
}

RequestId VirtualFloor::RequestIdOf(const std::string& name) {
  const Hash128 hash = HashBytes128("request " + name);
  return {hash.high, hash.low};
}

RequestId VirtualFloor::CallIdOf(const std::string& caller) const {
  return call_ids_.at(caller);
}

void VirtualFloor::StartRequest(const std::string& name,
                                const std::string& entry,
                                uint32_t tokens) {
  WorkItem work;
  work.name = name;
  work.entry = entry;
  work.prompt_tokens = name.size();
  work.tokens = tokens;
  StartWork(work);
}

void VirtualFloor::StartWork(const WorkItem& work) {
  Host* host = Find(work.entry);
  const RequestId id = RequestIdOf(work.name);
  std::vector<uint64_t> prompt = PromptOf(work.name);
  prompt.resize(work.prompt_tokens, 0);
  judge_.ExpectAnswer(id, prompt, work.tokens);
  request_tokens_[work.name] = work.tokens;
  request_entries_[ToString(id)] = work.entry;
  if (!host->alive || !host->entry->logic.ready())
    judge_.CallerGone(id);
  ModelRequest request;
  request.id = id;
  request.account = AccountName(work.account);
  request.weight = shape_.account_weights[work.account];
  request.model = {kModel, shape_.layers, kVersion};
  request.prompt = std::move(prompt);
  request.maximum_tokens = work.tokens;
  request.deadline = now_ + work.timeout;
  judge_.Asked(id);
  Post(host, Microseconds(0), [this, host, request] {
    if (host->entry->logic.ready() && request.deadline > now_)
      host->entry->logic.StartRequest(request, now_);
    else
      judge_.Refused(request.id, {Outcome::kNotRun, Reason::kNotReady, 0});
  });
}

uint64_t VirtualFloor::AttemptsStarted() const {
  uint64_t attempts = 0;
  for (const auto& [name, host] : hosts_) {
    if (host->entry)
      attempts += host->entry->logic.requests().attempts_started();
  }
  return attempts;
}

void VirtualFloor::ResumeRequest(const std::string& name,
                                 const std::string& entry) {
  Host* host = Find(entry);
  const RequestId id = RequestIdOf(name);
  if (judge_.RequestState(id) != "open" || !host->alive)
    return;
  request_entries_[ToString(id)] = entry;
  ModelRequest request;
  request.id = id;
  request.account = "workshop";
  request.model = {kModel, shape_.layers, kVersion};
  request.prompt = PromptOf(name);
  request.maximum_tokens = request_tokens_[name];
  request.deadline = now_ + kRequestTimeout;
  request.resuming = true;
  request.delivered_before = judge_.ReceivedCount(id);
  judge_.Asked(id);
  Post(host, Microseconds(0), [this, host, request] {
    if (request.deadline > now_)
      host->entry->logic.StartRequest(request, now_);
  });
}

void VirtualFloor::StartCall(const std::string& caller,
                             const std::string& entry,
                             const std::string& key,
                             bool idempotent) {
  Host* host = Find(entry);
  const bool keyed = key != "-" && !idempotent;
  const Hash128 hash = HashBytes128(keyed ? "key " + key : "call " + caller);
  wire::ServiceCallT call;
  call.request = RequestId(hash.high, hash.low);
  call.account = "workshop";
  call.service = kService;
  call.method = idempotent ? "GET" : "POST";
  call.path = "/bookings";
  call.idempotent = idempotent;
  call.keyed = keyed;
  call_ids_[caller] = call.request;
  call_entries_[caller] = entry;
  judge_.CallStarted(caller, call.request);
  if (!host->alive) {
    judge_.CallerOfCallGone(caller);
    return;
  }
  const uint64_t number = next_caller_++;
  callers_[number] = caller;
  const Instant deadline = now_ + kCallTimeout;
  Post(host, Microseconds(0), [this, host, number, call, deadline] {
    if (deadline > now_)
      host->entry->logic.StartCall(number, call, deadline, now_);
    else
      judge_.CallRefused(callers_.at(number),
                         {Outcome::kNotRun, Reason::kDeadline, 0});
  });
}

}  // namespace bbv
