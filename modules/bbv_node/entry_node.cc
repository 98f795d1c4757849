#include "bbv_node/entry_node.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/event.h"
#include "bbv_node/completion_handler.h"
#include "bbv_node/operator_handler.h"
#include "bbv_node/random_seed.h"
#include "bbv_node/service_handler.h"

namespace bbv {
namespace {

constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kInstancePollInterval{1000};
constexpr Milliseconds kHeartbeatUpdateInterval{100};
// Time for which a stopping entry still accepts requests, so that load
// balancers first notice that it is not ready.
constexpr Milliseconds kStopGracePeriod{1500};
// Time after the deadline of a request in which its response ends.
constexpr Milliseconds kResponseEndTime{500};
constexpr Milliseconds kStopPollInterval{20};
// Time without request activity before a stopping entry closes its listener:
// callers send their next request immediately after a response.
constexpr Milliseconds kStopIdleTime{300};

}  // namespace

EntryNode::EntryNode(NodeSettings settings)
    : settings_(std::move(settings)),
      spans_(settings_.trace_file, settings_.name),
      logic_(settings_.name, settings_.zone, RandomSeed(), this),
      network_(MakePeerNetworkOptions(
                   settings_,
                   {settings_.name, wire::Role::kEntry, RandomSeed()}),
               this),
      control_(kTickInterval, [this](Instant now) { Tick(now); }),
      configuration_follower_(
          settings_.log_address,
          Milliseconds(settings_.log_timeout_ms),
          kConfigurationStream,
          {[this](LogRecords records) {
             control_.Post([this, records = std::move(records)](Instant now) {
               logic_.HandleConfigurationRecords(records, now);
               PublishState();
             });
           },
           [](bool) {}}),
      log_worker_(1),
      instance_worker_(1),
      log_client_(settings_.log_address,
                  Milliseconds(settings_.log_timeout_ms)),
      instance_list_client_(settings_.instance_list_address,
                            Milliseconds(settings_.log_timeout_ms)),
      http_(settings_,
            &metrics_,
            {[this] { return ready_ && !leaving_; },
             [this] { return SerializeMetrics(); }}),
      random_(RandomSeed()) {
  AddCompletionRoutes(&http_.routes(), this);
  AddServiceRoutes(&http_.routes(), this);
  AddOperatorRoutes(&http_.routes(), this);
}

EntryNode::~EntryNode() {
  if (started_)
    Stop();
}

Result<void> EntryNode::Start() {
  if (auto started = network_.Start(); !started)
    return started;
  control_.Start();
  for (const SocketAddress& seed : settings_.peer_seeds)
    network_.Connect("", seed);
  configuration_follower_.Start();
  started_ = true;
  LogEvent(Event::kNodeStarted, {{"node", settings_.name}, {"role", "entry"}});
  return http_.Start();
}

void EntryNode::Stop() {
  started_ = false;
  LogEvent(Event::kNodeLeaving, {{"node", settings_.name}});
  const Instant began = std::chrono::steady_clock::now();
  const Instant stop_deadline = began + Milliseconds(settings_.stop_timeout_ms);
  const Instant grace_end = began + kStopGracePeriod;
  // A request that was taken must end before the HTTP server stops.
  reject_requests_from_ =
      std::min(grace_end, stop_deadline - kResponseEndTime -
                              Milliseconds(settings_.request_timeout_ms));
  leaving_ = true;
  control_.Post([this](Instant) { logic_.set_leaving(true); });
  std::this_thread::sleep_until(grace_end);
  while (!IsIdle(std::chrono::steady_clock::now()) &&
         std::chrono::steady_clock::now() < stop_deadline)
    std::this_thread::sleep_for(kStopPollInterval);
  http_.Stop();
  configuration_follower_.Stop();
  log_worker_.Stop();
  instance_worker_.Stop();
  control_.Stop();
  network_.Stop();
  LogEvent(Event::kNodeStopped, {{"node", settings_.name}});
}

RefPtr<RequestMailbox> EntryNode::OpenRequest(ModelRequest request) {
  auto mailbox = MakeRefCounted<RequestMailbox>(request.delivered_before);
  {
    const std::scoped_lock lock(mailboxes_mutex_);
    RefPtr<RequestMailbox>& place = mailboxes_[request.id];
    // The caller has reconnected: end the delivery to its previous connection.
    if (place)
      place->PutRefusal({Outcome::kUnknown, Reason::kCancelled, 0});
    place = mailbox;
  }
  control_.Post([this, request = std::move(request)](Instant now) {
    if (request.deadline > now)
      logic_.StartRequest(request, now);
    else
      RefuseRequest(request.id, {Outcome::kNotRun, Reason::kDeadline, 0});
  });
  return mailbox;
}

void EntryNode::CloseRequest(const RequestId& id,
                             const RefPtr<RequestMailbox>& mailbox,
                             bool complete) {
  {
    const std::scoped_lock lock(mailboxes_mutex_);
    const auto it = mailboxes_.find(id);
    // A reconnected caller has a newer mailbox, which must stay registered.
    if (it == mailboxes_.end() || it->second.get() != mailbox.get())
      return;
    mailboxes_.erase(it);
  }
  if (!complete)
    control_.Post([this, id](Instant now) { logic_.DetachRequest(id, now); });
}

CallResult EntryNode::RunCall(wire::ServiceCallT call, Instant deadline) {
  std::future<CallResult> future;
  uint64_t caller = 0;
  {
    const std::scoped_lock lock(calls_mutex_);
    caller = next_caller_++;
    future = calls_[caller].get_future();
  }
  control_.Post([this, caller, deadline, call = std::move(call)](Instant now) {
    if (deadline > now)
      logic_.StartCall(caller, call, deadline, now);
    else
      RefuseCall(caller, {Outcome::kNotRun, Reason::kDeadline, 0});
  });
  return future.get();
}

void EntryNode::AppendConfiguration(std::string record) {
  log_worker_.Post([this, record = std::move(record)] {
    const auto appended = log_client_.Append(kConfigurationStream, record);
    if (!appended)
      LogEvent(Event::kLogUnavailable,
               {{"error", appended.error().ToString()}});
  });
}

bool EntryNode::IsIdle(Instant now) const {
  return open_requests_ == 0 && now >= last_request_.load() + kStopIdleTime;
}

Reason EntryNode::BeginCallerRequest() {
  const Instant now = std::chrono::steady_clock::now();
  last_request_ = now;
  if (now >= reject_requests_from_.load())
    return Reason::kLeaving;
  if (++open_requests_ <= settings_.maximum_open_requests)
    return Reason::kNone;
  --open_requests_;
  return Reason::kOverloaded;
}

void EntryNode::EndCallerRequest() {
  last_request_ = std::chrono::steady_clock::now();
  --open_requests_;
}

RequestId EntryNode::MakeRequestId() {
  const std::scoped_lock lock(random_mutex_);
  const uint64_t high = random_();
  return {high, random_()};
}

TraceContext EntryNode::MakeTrace(const std::string& traceparent) {
  const std::scoped_lock lock(random_mutex_);
  return ContinueTrace(traceparent, &random_);
}

void EntryNode::Send(const std::string& peer, wire::FrameT frame) {
  network_.Send(peer, EncodeFrame(frame));
}

void EntryNode::DeliverTokens(const RequestId& id,
                              uint32_t first_index,
                              std::span<const uint64_t> tokens,
                              bool finished) {
  if (const auto mailbox = FindMailbox(id))
    mailbox->PutTokens(first_index, tokens, finished);
}

void EntryNode::RefuseRequest(const RequestId& id, const Refusal& refusal) {
  metrics_.CountRefusal(refusal.reason);
  if (const auto mailbox = FindMailbox(id))
    mailbox->PutRefusal(refusal);
}

void EntryNode::AnswerCall(uint64_t caller,
                           const wire::ServiceAnswerT& answer) {
  CompleteCall(caller, answer);
}

void EntryNode::RefuseCall(uint64_t caller, const Refusal& refusal) {
  metrics_.CountRefusal(refusal.reason);
  CompleteCall(caller, refusal);
}

void EntryNode::CompleteCall(uint64_t caller, CallResult result) {
  const std::scoped_lock lock(calls_mutex_);
  const auto it = calls_.find(caller);
  assert(it != calls_.end());
  it->second.set_value(std::move(result));
  calls_.erase(it);
}

RefPtr<RequestMailbox> EntryNode::FindMailbox(const RequestId& id) {
  const std::scoped_lock lock(mailboxes_mutex_);
  const auto it = mailboxes_.find(id);
  return it == mailboxes_.end() ? RefPtr<RequestMailbox>() : it->second;
}

void EntryNode::Connect(const std::string& target, const std::string& address) {
  if (const auto parsed = ParseSocketAddress(address))
    network_.Connect(target, *parsed);
}

void EntryNode::Disconnect(const std::string& target) {
  network_.Disconnect(target);
}

void EntryNode::PeerConnected(const NodeIdentity& peer) {
  control_.Post(
      [this, name = peer.name](Instant) { logic_.PeerConnected(name); });
}

void EntryNode::PeerLost(const std::string& peer) {
  control_.Post([this, peer](Instant now) { logic_.PeerLost(peer, now); });
}

void EntryNode::FrameReceived(const std::string& peer, wire::FrameT frame) {
  auto shared = std::make_shared<wire::FrameT>(std::move(frame));
  control_.Post([this, peer, shared](Instant now) {
    logic_.HandleFrame(peer, *shared, now);
    if (shared->body.type == wire::Body::ConfigurationShare)
      PublishState();
  });
}

void EntryNode::PeerFault(const std::string& fault) {
  metrics_.CountPeerFault(fault);
}

void EntryNode::Tick(Instant now) {
  logic_.Tick(now);
  if (now >= next_heartbeat_update_) {
    next_heartbeat_update_ = now + kHeartbeatUpdateInterval;
    PublishState();
  }
  if (now >= next_instance_poll_ && !instance_poll_running_) {
    next_instance_poll_ = now + kInstancePollInterval;
    PollInstances();
  }
}

void EntryNode::PublishState() {
  const uint64_t version = logic_.sharing().fold().version();
  if (version != published_version_) {
    published_version_ = version;
    view_.Set(logic_.configuration());
  }
  network_.SetHeartbeat(EncodeFrame(MakeFrame(logic_.MakeHeartbeat())));
  if (!ready_ && logic_.ready())
    LogEvent(Event::kNodeReady, {{"node", settings_.name}});
  ready_ = logic_.ready();
}

void EntryNode::PollInstances() {
  instance_poll_running_ = true;
  instance_worker_.Post([this] {
    auto leaving = instance_list_client_.ReadLeavingInstances();
    if (!leaving) {
      LogEvent(Event::kInstanceListUnavailable,
               {{"error", leaving.error().ToString()}});
    } else {
      control_.Post([this, names = std::move(*leaving)](Instant) {
        logic_.ApplyInstanceList(names);
      });
    }
    instance_poll_running_ = false;
  });
}

std::string EntryNode::SerializeMetrics() {
  control_.Call([this](Instant) {
    metrics_.SetGauge("requests_in_flight", logic_.requests().open_requests());
    metrics_.SetGauge("calls_in_flight", logic_.services().open_calls());
    metrics_.SetGauge("configuration_version",
                      logic_.sharing().fold().version());
    metrics_.SetCounter("attempts", logic_.requests().attempts_started());
    metrics_.SetCounter(
        "retries", logic_.requests().retries() + logic_.services().retries());
    return true;
  });
  metrics_.SetCounter("peer_bytes_sent", network_.bytes_sent());
  metrics_.SetCounter("control_bytes_sent", network_.control_bytes_sent());
  metrics_.UpdateProcessMetrics();
  return metrics_.Serialize();
}

}  // namespace bbv
