#include "virtual_floor.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"

namespace bbv {
namespace {

constexpr char kModel[] = "assistant";
constexpr char kVersion[] = "v1";
constexpr char kService[] = "booking";
constexpr Milliseconds kSilenceTimeout{1000};
constexpr Milliseconds kHeartbeatInterval{250};
constexpr Milliseconds kTickInterval{50};
constexpr Milliseconds kRequestTimeout{20'000};
constexpr Milliseconds kCallTimeout{4000};
constexpr Milliseconds kLogTimeout{300};
constexpr std::size_t kReadLimit = 512;

std::string AccountName(std::size_t number) {
  return number == 0 ? "workshop" : "a" + std::to_string(number);
}

std::vector<uint64_t> PromptOf(const std::string& name) {
  return {name.begin(), name.end()};
}

}  // namespace

// A process on the floor: one run of an entry or a side, and for sides the
// target beside it, which outlives the side's process.
struct VirtualFloor::Host {
  explicit Host(std::string node) : name(std::move(node)) {}

  std::string name;
  bool alive = false;
  bool frozen = false;
  uint64_t run = 0;
  std::deque<std::function<void()>> held;
  std::unique_ptr<EntryHost> entry;
  std::unique_ptr<SideHost> side;
  std::unique_ptr<standins::FakeEngine> engine;
  bool target_alive = true;
  int lost_answers = 0;
  int refused_calls = 0;
  std::map<std::string, uint64_t> read_offsets;
  std::set<std::string> listed_leaving;
  bool stopping = false;
};

struct VirtualFloor::Connection {
  std::string left;
  std::string right;
  bool open = true;
  bool silent = false;
  bool repeating = false;
  Instant silent_since{};
  // The next frame each way arrives no earlier than this.
  std::map<std::string, Instant> arrival;

  bool Joins(const std::string& one, const std::string& other) const {
    return (left == one && right == other) || (left == other && right == one);
  }
};

class VirtualFloor::EntryHost : public EntryActions {
 public:
  EntryHost(VirtualFloor* floor, Host* host)
      : floor_(floor),
        host_(host),
        logic(host->name,
              "zone-0",
              floor->generator_(),
              this,
              floor->shape_.policy) {}

  void Send(const std::string& peer, wire::FrameT frame) override {
    floor_->Transmit(host_->name, peer, std::move(frame));
  }
  void DeliverTokens(const RequestId& id,
                     uint32_t first_index,
                     std::span<const uint64_t> tokens,
                     bool finished) override {
    // Deliveries to a caller that has moved to another entry go nowhere.
    if (!Serves(id))
      return;
    floor_->judge_.Delivered(id, first_index, tokens, finished);
    if (floor_->on_delivery)
      floor_->on_delivery(id, tokens.size(), finished);
  }
  void RefuseRequest(const RequestId& id, const Refusal& refusal) override {
    if (!Serves(id))
      return;
    floor_->judge_.Refused(id, refusal);
    if (floor_->on_refusal)
      floor_->on_refusal(id, refusal);
  }
  void AnswerCall(uint64_t caller, const wire::ServiceAnswerT&) override {
    floor_->judge_.CallAnswered(floor_->callers_.at(caller));
  }
  void RefuseCall(uint64_t caller, const Refusal& refusal) override {
    floor_->judge_.CallRefused(floor_->callers_.at(caller), refusal);
  }
  void Connect(const std::string& target, const std::string&) override {
    floor_->WantConnection(host_->name, target);
  }
  void Disconnect(const std::string& target) override {
    floor_->wanted_.erase({host_->name, target});
    floor_->CloseConnections(host_->name, target, true);
  }
  void AppendConfiguration(std::string record) override {
    floor_->AppendToLog(kConfigurationStream, record,
                        [](const Result<void>&) {});
  }

 private:
  bool Serves(const RequestId& id) const {
    const auto it = floor_->request_entries_.find(ToString(id));
    return it != floor_->request_entries_.end() && it->second == host_->name;
  }

  VirtualFloor* floor_;
  Host* host_;

 public:
  EntryLogic logic;
};

class VirtualFloor::SideHost : public SideActions {
 public:
  SideHost(VirtualFloor* floor, Host* host, const SideOptions& options)
      : floor_(floor), host_(host), logic(options, this) {}

  void Send(const std::string& peer, wire::FrameT frame) override {
    floor_->Transmit(host_->name, peer, std::move(frame));
  }
  void SendToStage(const std::string& target,
                   const std::string&,
                   wire::FrameT frame) override {
    floor_->TransmitToStage(host_->name, target, std::move(frame));
  }
  void RunEngine(wire::EngineBatchT batch) override {
    // The engine runs when the call reaches it, also when the side dies or
    // freezes meanwhile.
    auto shared = std::make_shared<wire::EngineBatchT>(std::move(batch));
    Host* host = host_;
    VirtualFloor* floor = floor_;
    auto results = std::make_shared<Result<wire::EngineResultsT>>(
        Fail(Step::kEngineStep, host->name, "no engine"));
    const Microseconds time =
        floor->shape_.engine_time
            ? floor->shape_.engine_time(floor->targets_.at(host->name), *shared)
            : floor->Latency(300, 1500);
    floor->At(floor->now_ + time, [=] {
      if (!host->target_alive)
        return;
      auto ran = host->engine->RunStep(*shared);
      if (host->lost_answers > 0)
        --host->lost_answers;
      else
        *results = std::move(ran);
    });
    floor->Post(host, time + floor->Latency(100, 1500), [=] {
      host->side->logic.TakeEngineResults(*results, floor->now_);
    });
  }
  void CallService(const wire::ServiceCallT& call) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    const RequestId id = call.request;
    const bool may_repeat = call.idempotent;
    auto result = std::make_shared<Result<wire::ServiceAnswerT>>(
        Fail(Step::kServiceCall, host->name, "answer lost"));
    if (!host->target_alive || host->refused_calls > 0) {
      host->refused_calls = std::max(0, host->refused_calls - 1);
      *result = Fail(Step::kServiceCall, host->name, "refused", true);
    } else {
      floor->At(floor->now_ + floor->Latency(300, 4000), [=] {
        if (!host->target_alive)
          return;
        floor->judge_.ServiceRan(id, may_repeat);
        if (host->lost_answers > 0) {
          --host->lost_answers;
          return;
        }
        wire::ServiceAnswerT answer;
        answer.status = 200;
        *result = answer;
      });
    }
    floor->Post(host, floor->Latency(4100, 9000), [=] {
      host->side->logic.TakeCallResult(id, std::move(*result), floor->now_);
    });
  }
  void AppendClaims(std::string record) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    const uint64_t run = host->run;
    floor->AppendToLog(
        ClaimStreamName(kService), record, [=](const Result<void>& result) {
          if (host->run != run)
            return;
          floor->Post(host, Microseconds(0), [=] {
            host->side->logic.TakeAppendResult(result, floor->now_);
          });
        });
  }
  void OrderLoad(const LoadOrder& order) override {
    Host* host = host_;
    VirtualFloor* floor = floor_;
    floor->Post(host, floor->Latency(1000, 5000), [=] {
      if (!host->target_alive ||
          !host->engine->Load(order.version, order.fence))
        host->side->logic.TakeOrderResult(
            Fail(Step::kEngineOrder, host->name, "refused"), floor->now_);
      else
        host->side->logic.TakeOrderResult(EngineState{host->engine->loaded()},
                                          floor->now_);
    });
  }

 private:
  VirtualFloor* floor_;
  Host* host_;

 public:
  SideLogic logic;
};

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

Microseconds VirtualFloor::Latency(int minimum_us, int maximum_us) {
  return Microseconds(
      std::uniform_int_distribution<int>(minimum_us, maximum_us)(generator_));
}

bool VirtualFloor::IsCut(const std::string& left,
                         const std::string& right) const {
  return cuts_.contains(std::minmax(left, right));
}

void VirtualFloor::WantConnection(const std::string& from,
                                  const std::string& to) {
  wanted_.insert({from, to});
  At(now_ + Latency(500, 2000), [this, from, to] { TryConnect(from, to); });
}

std::shared_ptr<VirtualFloor::Connection> VirtualFloor::TryConnect(
    const std::string& from,
    const std::string& to) {
  if (auto open = FindConnection(from, to))
    return open;
  if (!hosts_.contains(to))
    return nullptr;
  Host* left = Find(from);
  Host* right = Find(to);
  const bool possible = left->alive && right->alive && !left->frozen &&
                        !right->frozen && !IsCut(from, to);
  if (!possible)
    return nullptr;
  auto connection = std::make_shared<Connection>();
  connection->left = from;
  connection->right = to;
  connections_.push_back(connection);
  for (Host* host : {left, right}) {
    const std::string peer = host == left ? to : from;
    Post(host, Microseconds(0), [host, peer] {
      if (host->entry)
        host->entry->logic.PeerConnected(peer);
    });
  }
  // The first heartbeat follows at once.
  for (Host* host : {left, right}) {
    const std::string peer = host == left ? to : from;
    Post(host, Microseconds(1), [this, host, peer] {
      Transmit(host->name, peer,
               MakeFrame(host->entry ? host->entry->logic.MakeHeartbeat()
                                     : host->side->logic.MakeHeartbeat()));
    });
  }
  return connection;
}

std::shared_ptr<VirtualFloor::Connection> VirtualFloor::FindConnection(
    const std::string& from,
    const std::string& to) const {
  for (const auto& connection : connections_) {
    if (connection->open && connection->Joins(from, to))
      return connection;
  }
  return nullptr;
}

void VirtualFloor::Transmit(const std::string& from,
                            const std::string& to,
                            wire::FrameT frame) {
  const auto connection = FindConnection(from, to);
  if (!connection || connection->silent)
    return;
  Instant& arrival = connection->arrival[to];
  arrival = std::max(arrival, now_ + Latency(100, 2000));
  auto shared = std::make_shared<wire::FrameT>(std::move(frame));
  Host* host = Find(to);
  const auto deliver = [this, connection, host, from, shared] {
    if (!connection->open)
      return;
    if (host->entry)
      host->entry->logic.TakeFrame(from, *shared, now_);
    else
      host->side->logic.TakeFrame(from, *shared, now_);
  };
  Post(host, std::chrono::duration_cast<Microseconds>(arrival - now_), deliver);
  // Calls without a key are sent once and TCP carries them once; everything
  // else must bear being repeated late.
  if (connection->repeating && shared->body.type != wire::Body::ServiceCall)
    Post(host, Latency(5000, 3'000'000), deliver);
}

void VirtualFloor::TransmitToStage(const std::string& from,
                                   const std::string& to,
                                   wire::FrameT frame) {
  if (TryConnect(from, to))
    Transmit(from, to, std::move(frame));
  else
    LosePeer(from, to, Latency(500, 2000));
}

void VirtualFloor::LosePeer(const std::string& node,
                            const std::string& peer,
                            Microseconds delay) {
  Host* host = Find(node);
  Post(host, delay, [this, host, peer] {
    if (host->entry)
      host->entry->logic.PeerLost(peer, now_);
    else
      host->side->logic.PeerLost(peer, now_);
  });
}

void VirtualFloor::CloseConnections(const std::string& left,
                                    const std::string& right,
                                    bool notice_both) {
  for (const auto& connection : connections_) {
    if (!connection->open || !connection->Joins(left, right))
      continue;
    connection->open = false;
    LosePeer(left, right, Microseconds(0));
    if (notice_both)
      LosePeer(right, left, Latency(100, 2000));
  }
  std::erase_if(connections_, [](const auto& it) { return !it->open; });
}

void VirtualFloor::Heartbeats() {
  At(now_ + kHeartbeatInterval, [this] { Heartbeats(); });
  for (const auto& [from, to] : std::set(wanted_)) {
    if (!FindConnection(from, to))
      TryConnect(from, to);
  }
  const auto connections = connections_;
  for (const auto& connection : connections) {
    Host* left = Find(connection->left);
    Host* right = Find(connection->right);
    const bool quiet = connection->silent || left->frozen || right->frozen ||
                       !left->alive || !right->alive ||
                       IsCut(left->name, right->name);
    if (!quiet) {
      connection->silent_since = now_;
      for (Host* host : {left, right}) {
        Transmit(host->name, host == left ? right->name : left->name,
                 MakeFrame(host->entry ? host->entry->logic.MakeHeartbeat()
                                       : host->side->logic.MakeHeartbeat()));
      }
      continue;
    }
    if (connection->silent_since == Instant{})
      connection->silent_since = now_;
    if (now_ - connection->silent_since > kSilenceTimeout)
      CloseConnections(left->name, right->name, true);
  }
}

void VirtualFloor::Ticks() {
  At(now_ + kTickInterval, [this] { Ticks(); });
  for (const auto& [name, owned] : hosts_) {
    Host* host = owned.get();
    Post(host, Microseconds(0), [this, host] {
      const ConfigurationSharing& sharing = host->entry
                                                ? host->entry->logic.sharing()
                                                : host->side->logic.sharing();
      if (host->entry)
        host->entry->logic.Tick(now_);
      else
        host->side->logic.Tick(now_);
      judge_.ConfigurationSeen(host->name, sharing.fold().version(),
                               sharing.fold().digest());
      if (host->side && host->stopping && host->side->logic.idle())
        Kill(host->name);
    });
  }
}

void VirtualFloor::AppendToLog(const std::string& stream,
                               const std::string& record,
                               const AppendDone& done) {
  const auto fail = [this, done](Microseconds delay) {
    At(now_ + delay,
       [done] { done(Fail(Step::kLogAppend, "log", "no answer")); });
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
      host->entry->logic.TakeConfigurationRecords(records, now_);
    else if (stream == kConfigurationStream)
      host->side->logic.TakeConfigurationRecords(records, now_);
    else
      host->side->logic.TakeClaimRecords(records, now_);
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

void VirtualFloor::Kill(const std::string& node) {
  Host* host = Find(node);
  if (!host->alive)
    return;
  host->alive = false;
  ++host->run;
  host->held.clear();
  for (const auto& [name, other] : hosts_)
    CloseConnections(name, node, false);
  for (const auto& [id, entry] : request_entries_) {
    if (entry == node)
      judge_.CallerGone(*ParseRequestId(id));
  }
  for (const auto& [caller, entry] : call_entries_) {
    if (entry == node)
      judge_.CallerOfCallGone(caller);
  }
}

void VirtualFloor::KillTarget(const std::string& node) {
  Kill(node);
  Find(node)->target_alive = false;
}

void VirtualFloor::Restart(const std::string& node) {
  Host* host = Find(node);
  if (host->alive)
    return;
  if (!host->target_alive && host->engine) {
    auto fresh =
        std::make_unique<standins::FakeEngine>(host->engine->options());
    fresh->on_trace = host->engine->on_trace;
    host->engine = std::move(fresh);
  }
  host->target_alive = true;
  StartHost(node);
}

void VirtualFloor::Freeze(const std::string& node) {
  Find(node)->frozen = true;
}

void VirtualFloor::Thaw(const std::string& node) {
  Host* host = Find(node);
  host->frozen = false;
  const auto held = std::exchange(host->held, {});
  for (const auto& event : held)
    Post(host, Microseconds(0), event);
}

void VirtualFloor::Cut(const std::string& left, const std::string& right) {
  cuts_.insert(std::minmax(left, right));
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->silent = true;
  }
}

void VirtualFloor::Heal(const std::string& left, const std::string& right) {
  cuts_.erase(std::minmax(left, right));
}

void VirtualFloor::Silence(const std::string& left, const std::string& right) {
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->silent = true;
  }
}

void VirtualFloor::Repeat(const std::string& left, const std::string& right) {
  for (const auto& connection : connections_) {
    if (connection->Joins(left, right))
      connection->repeating = true;
  }
}

void VirtualFloor::LoseTargetAnswers(const std::string& node, int count) {
  Find(node)->lost_answers += count;
}

void VirtualFloor::RefuseTargetCall(const std::string& node) {
  ++Find(node)->refused_calls;
}

void VirtualFloor::StopNode(const std::string& node) {
  Host* host = Find(node);
  host->stopping = true;
  Post(host, Microseconds(0), [host] {
    if (host->side)
      host->side->logic.SetStopping(true);
  });
  judge_.ForbidNewWork(node, now_ + Milliseconds(3000));
}

void VirtualFloor::ListLeaving(const std::string& node, Milliseconds lag) {
  // The instance itself knows first; entries learn it with the list's lag.
  Host* leaving = Find(node);
  Post(leaving, Latency(1000, 900'000), [leaving] {
    if (leaving->side)
      leaving->side->logic.SetStopping(true);
  });
  for (const auto& [name, owned] : hosts_) {
    Host* host = owned.get();
    Post(host, lag, [host, node] {
      host->listed_leaving.insert(node);
      if (host->entry)
        host->entry->logic.TakeInstanceList(
            {host->listed_leaving.begin(), host->listed_leaving.end()});
    });
  }
  judge_.ForbidNewWork(node, now_ + Milliseconds(3000));
}

void VirtualFloor::PlanIntent(const std::string& name,
                              const std::string& entry,
                              const std::vector<std::string>& words) {
  Host* host = Find(entry);
  if (!host->alive)
    return;
  const Intent intent{words[0], {words.begin() + 1, words.end()}};
  const auto plan = MakePlan(host->entry->logic.sharing().fold(), intent, name);
  if (plan)
    AppendToLog(kConfigurationStream, MakePlanRecord(*plan),
                [](const Result<void>&) {});
}

void VirtualFloor::ConfirmPlan(const std::string& name,
                               const std::string& entry) {
  if (Find(entry)->alive)
    AppendToLog(kConfigurationStream, MakeConfirmRecord(name),
                [](const Result<void>&) {});
}

std::string VirtualFloor::PlanStateOn(const std::string& name,
                                      const std::string& node) {
  const Host* host = Find(node);
  const ConfigurationFold& fold = host->entry
                                      ? host->entry->logic.sharing().fold()
                                      : host->side->logic.sharing().fold();
  const PlanOutcome* outcome = fold.FindOutcome(name);
  return outcome == nullptr ? "none"
                            : std::string(kPlanStateNames.Name(outcome->state));
}

bool VirtualFloor::ConfigurationsAgree() const {
  std::set<uint64_t> digests;
  for (const auto& [name, host] : hosts_) {
    if (!host->alive || host->frozen)
      continue;
    digests.insert(host->entry ? host->entry->logic.sharing().fold().digest()
                               : host->side->logic.sharing().fold().digest());
  }
  return digests.size() <= 1;
}

std::vector<std::string> VirtualFloor::NodeNames() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_)
    names.push_back(name);
  return names;
}

}  // namespace bbv
