#include "bbv_node/side_node.h"

#include <algorithm>
#include <utility>

#include "bbv_core/event.h"
#include "bbv_node/random_seed.h"

namespace bbv {
namespace {

constexpr Milliseconds kTickInterval{10};
constexpr Milliseconds kInstancePollInterval{1000};
constexpr Milliseconds kHeartbeatUpdateInterval{50};
constexpr Milliseconds kStopPollInterval{20};
// A stopping side node refuses work for at least a heartbeat interval and this
// time, in which entries learn that it leaves, and until none has come for the
// quiet time.
constexpr Milliseconds kStopNoticeTime{250};
constexpr Milliseconds kStopQuietTime{150};
// Loading weights takes longer than a step, so it has a timeout of its own.
constexpr Milliseconds kLoadTimeout{60'000};
constexpr int kMaximumCallThreads = 64;
constexpr std::size_t kMaximumActiveSpans = 10'000;

int CallThreadCount(const NodeSettings& settings) {
  if (settings.target_kind == TargetKind::kEngine)
    return 1;
  return std::min(settings.maximum_running, kMaximumCallThreads);
}

SideOptions MakeOptions(const NodeSettings& settings, uint64_t epoch) {
  SideOptions options;
  options.target = settings.target_name;
  options.is_engine = settings.target_kind == TargetKind::kEngine;
  options.epoch = epoch;
  options.sequence_limits.maximum_running = settings.maximum_running;
  options.sequence_limits.maximum_queued = settings.maximum_queued;
  options.sequence_limits.maximum_batch_tokens = settings.maximum_batch_tokens;
  options.sequence_limits.maximum_batch_sequences =
      settings.maximum_batch_sequences;
  options.call_limits.maximum_running = CallThreadCount(settings);
  options.call_limits.maximum_queued = settings.maximum_queued;
  options.call_limits.claim_interval = Milliseconds(settings.claim_interval_ms);
  return options;
}

}  // namespace

SideNode::SideNode(NodeSettings settings)
    : settings_(std::move(settings)),
      spans_(settings_.trace_file, settings_.name),
      random_(RandomSeed()),
      logic_(MakeOptions(settings_, random_()), this),
      network_(MakePeerNetworkOptions(
                   settings_,
                   // A side node's peer name is the name of its target.
                   {settings_.target_name, wire::Role::kSide, random_()}),
               this),
      control_(kTickInterval, [this](Instant now) { Tick(now); }),
      configuration_follower_(
          settings_.log_address,
          Milliseconds(settings_.log_timeout_ms),
          kConfigurationStream,
          {[this](LogRecords records) {
             control_.Post([this, records = std::move(records)](Instant now) {
               logic_.HandleConfigurationRecords(records, now);
             });
           },
           [](bool) {}}),
      engine_worker_(1),
      load_worker_(1),
      call_workers_(CallThreadCount(settings_)),
      log_worker_(1),
      instance_worker_(1),
      engine_client_(settings_.target_address,
                     Milliseconds(settings_.target_timeout_ms)),
      load_client_(settings_.target_address, kLoadTimeout),
      log_client_(settings_.log_address,
                  Milliseconds(settings_.log_timeout_ms)),
      instance_list_client_(settings_.instance_list_address,
                            Milliseconds(settings_.log_timeout_ms)),
      http_(settings_,
            &metrics_,
            {[this] { return ready_ && !stopping_; },
             [this] { return SerializeMetrics(); }}) {
  if (settings_.target_kind != TargetKind::kService)
    return;
  claim_follower_ = std::make_unique<LogFollower>(
      settings_.log_address, Milliseconds(settings_.log_timeout_ms),
      ClaimStreamName(settings_.target_service),
      LogFollower::Callbacks{
          [this](LogRecords records) {
            control_.Post([this, records = std::move(records)](Instant now) {
              logic_.HandleClaimRecords(records, now);
            });
          },
          [this](bool available) {
            control_.Post([this, available](Instant) {
              logic_.SetLogAvailable(available);
            });
          }});
}

SideNode::~SideNode() {
  if (started_)
    Stop();
}

Result<void> SideNode::Start() {
  control_.Start();
  // Binding the address also prevents a second side node for this target.
  if (auto started = network_.Start(); !started)
    return started;
  started_ = true;
  for (const SocketAddress& seed : settings_.peer_seeds)
    network_.Connect("", seed);
  configuration_follower_.Start();
  if (claim_follower_)
    claim_follower_->Start();
  LogEvent(Event::kNodeStarted, {{"node", settings_.name}, {"role", "side"}});
  return http_.Start();
}

void SideNode::Stop() {
  started_ = false;
  stopping_ = true;
  LogEvent(Event::kNodeLeaving, {{"node", settings_.name}});
  const Instant deadline = std::chrono::steady_clock::now() +
                           Milliseconds(settings_.stop_timeout_ms);
  control_.Post([this](Instant) {
    logic_.SetStopping(true);
    network_.SetHeartbeat(EncodeFrame(MakeFrame(logic_.MakeHeartbeat())));
    network_.SendHeartbeat();
  });
  WaitUntilLeft(deadline);
  http_.Stop();
  configuration_follower_.Stop();
  if (claim_follower_)
    claim_follower_->Stop();
  for (WorkerPool* pool : {&engine_worker_, &load_worker_, &call_workers_,
                           &log_worker_, &instance_worker_})
    pool->Stop();
  control_.Stop();
  network_.Stop();
  LogEvent(Event::kNodeStopped, {{"node", settings_.name}});
}

void SideNode::WaitUntilLeft(Instant deadline) {
  const Instant noticed_at = std::chrono::steady_clock::now() +
                             Milliseconds(settings_.heartbeat_interval_ms) +
                             kStopNoticeTime;
  while (true) {
    const Instant now = std::chrono::steady_clock::now();
    const bool quiet =
        now >= noticed_at && now >= last_work_.load() + kStopQuietTime;
    if (now >= deadline ||
        (quiet && control_.Call([this](Instant) { return logic_.idle(); })))
      return;
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

void SideNode::Send(const std::string& peer, wire::FrameT frame) {
  if (const auto* answer = frame.body.AsServiceAnswer())
    EndSpan(answer->request, "side.call");
  network_.Send(peer, EncodeFrame(frame));
}

void SideNode::SendToStage(const std::string& target,
                           const std::string& address,
                           wire::FrameT frame) {
  const auto parsed = ParseSocketAddress(address);
  if (parsed)
    network_.SendToStage(target, *parsed, EncodeFrame(frame));
}

void SideNode::RunEngine(wire::EngineBatchT batch) {
  auto shared = std::make_shared<wire::EngineBatchT>(std::move(batch));
  engine_worker_.Post([this, shared] {
    auto results = std::make_shared<Result<wire::EngineResultsT>>(
        engine_client_.RunStep(*shared));
    control_.Post([this, results](Instant now) {
      logic_.HandleEngineResults(*results, now);
    });
  });
}

void SideNode::CallService(const wire::ServiceCallT& call) {
  auto shared = std::make_shared<wire::ServiceCallT>(call);
  call_workers_.Post([this, shared] {
    auto result = std::make_shared<Result<wire::ServiceAnswerT>>(
        bbv::CallService(settings_.target_address,
                         Milliseconds(settings_.target_timeout_ms), *shared));
    control_.Post([this, result, id = shared->request](Instant now) {
      logic_.HandleCallResult(id, std::move(*result), now);
    });
  });
}

void SideNode::AppendClaims(std::string record) {
  log_worker_.Post([this, record = std::move(record)] {
    const auto appended =
        log_client_.Append(ClaimStreamName(settings_.target_service), record);
    control_.Post([this, appended](Instant now) {
      logic_.HandleAppendResult(appended, now);
    });
  });
}

void SideNode::SendLoadOrder(const LoadOrder& order) {
  load_worker_.Post([this, order] {
    const auto loaded =
        load_client_.Load(order.model, order.version, order.first_layer,
                          order.end_layer, order.fence);
    control_.Post([this, loaded](Instant now) {
      if (loaded)
        logic_.HandleOrderResult(EngineState{*loaded}, now);
      else
        logic_.HandleOrderResult(tl::make_unexpected(loaded.error()), now);
    });
  });
}

void SideNode::PeerConnected(const NodeIdentity&) {}

void SideNode::PeerLost(const std::string& peer) {
  control_.Post([this, peer](Instant now) { logic_.PeerLost(peer, now); });
}

void SideNode::FrameReceived(const std::string& peer, wire::FrameT frame) {
  auto shared = std::make_shared<wire::FrameT>(std::move(frame));
  if (shared->body.type == wire::Body::ServiceCall ||
      shared->body.type == wire::Body::StepBatch)
    last_work_ = std::chrono::steady_clock::now();
  control_.Post([this, peer, shared](Instant now) {
    if (spans_.enabled())
      TraceFrame(*shared);
    logic_.HandleFrame(peer, *shared, now);
  });
}

void SideNode::PeerFault(const std::string& fault) {
  metrics_.CountPeerFault(fault);
}

void SideNode::Tick(Instant now) {
  logic_.Tick(now);
  if (now >= next_heartbeat_update_) {
    next_heartbeat_update_ = now + kHeartbeatUpdateInterval;
    const wire::HeartbeatT heartbeat = logic_.MakeHeartbeat();
    ready_ = heartbeat.ready && !heartbeat.leaving;
    network_.SetHeartbeat(EncodeFrame(MakeFrame(wire::HeartbeatT(heartbeat))));
  }
  if (now >= next_instance_poll_) {
    next_instance_poll_ = now + kInstancePollInterval;
    PollInstances();
  }
}

void SideNode::PollInstances() {
  instance_worker_.Post([this] {
    const auto leaving = instance_list_client_.ReadLeavingInstances();
    if (!leaving)
      return;
    const bool listed = std::find(leaving->begin(), leaving->end(),
                                  settings_.target_name) != leaving->end();
    control_.Post([this, listed](Instant) {
      if (listed != listed_leaving_)
        LogEvent(Event::kInstanceLeaving, {{"target", settings_.target_name}});
      listed_leaving_ = listed;
      logic_.SetStopping(listed || stopping_);
    });
  });
}

std::string SideNode::SerializeMetrics() {
  control_.Call([this](Instant) {
    const SequenceRunner& sequences = logic_.sequences();
    const CallRunner& calls = logic_.calls();
    metrics_.SetGauge("sequences_running", sequences.running());
    metrics_.SetGauge("sequences_queued", sequences.queued());
    metrics_.SetGauge("calls_running", calls.running());
    metrics_.SetGauge("known_keys", calls.known_keys());
    metrics_.SetGauge("step_microseconds", sequences.step_microseconds());
    metrics_.SetGauge("configuration_version",
                      logic_.sharing().fold().version());
    metrics_.SetCounter("steps", sequences.steps_run());
    metrics_.SetCounter("calls", calls.calls_run());
    metrics_.SetCounter("claim_appends", calls.appends());
    return true;
  });
  metrics_.SetCounter("peer_bytes_sent", network_.bytes_sent());
  metrics_.SetCounter("control_bytes_sent", network_.control_bytes_sent());
  metrics_.UpdateProcessMetrics();
  return metrics_.Serialize();
}

void SideNode::TraceFrame(const wire::FrameT& frame) {
  const auto begin_span = [this](const RequestId& id,
                                 const std::string& parent) {
    if (active_spans_.size() < kMaximumActiveSpans)
      active_spans_.try_emplace(
          id, ActiveSpan{ContinueTrace(parent, &random_), UnixNanoseconds()});
  };
  if (const auto* batch = frame.body.AsStepBatch()) {
    for (const wire::StepT& step : batch->steps) {
      if (step.attempt)
        begin_span(step.request, step.attempt->traceparent);
    }
  } else if (const auto* call = frame.body.AsServiceCall()) {
    begin_span(call->request, call->traceparent);
  } else if (const auto* batch = frame.body.AsReleaseBatch()) {
    for (const wire::ReleaseT& release : batch->releases)
      EndSpan(release.request, "side.stage");
  }
}

void SideNode::EndSpan(const RequestId& id, const std::string& name) {
  const auto it = active_spans_.find(id);
  if (it == active_spans_.end())
    return;
  spans_.Write({it->second.context,
                name,
                it->second.start_unix_nanoseconds,
                UnixNanoseconds(),
                {{"request", ToString(id)},
                 {"target", settings_.target_name},
                 {"zone", settings_.zone}}});
  active_spans_.erase(it);
}

}  // namespace bbv
