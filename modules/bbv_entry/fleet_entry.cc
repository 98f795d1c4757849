#include "bbv_entry/fleet_entry.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "bbv_core/hashing.h"
#include "platform/call_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kGaugeInterval{500};
constexpr Milliseconds kLayerCheckInterval{100};
// After the stop signal the load balancer keeps sending callers here until it
// notices that the entry is not ready.
constexpr Milliseconds kBalancerNoticeTime{2400};
// The entry ends its open calls, and exits, this long before the stop timeout,
// at which it would be killed.
constexpr Milliseconds kForcedStopMargin{300};
constexpr Milliseconds kExitMargin{100};
constexpr Milliseconds kDefaultCallerTimeout{30'000};
// How long connections of callers are held while a starting entry cannot route
// calls yet.
constexpr Milliseconds kStartupHold{700};
// Time in which a starting entry learns of the entries that rank before it.
constexpr Milliseconds kStartupLeaseDelay{800};
// Number of entries assumed to share the retry budget and rate limits until the
// list of entries was read.
constexpr int kAssumedEntries = 24;
// If this entry fails to connect to more targets than both this number and a
// fifth of all targets within kUnreachedWindow, its own network is at fault.
constexpr std::size_t kMinUnreachedTargets = 4;
constexpr std::size_t kUnreachedTargetsDivisor = 5;
constexpr Milliseconds kUnreachedWindow{1500};
// Link bandwidth in Mbit/s that one processor core can fill. An instance with
// less bandwidth per core is ranked by its link.
constexpr double kMegabitsPerCore = 200;
constexpr int kReservedDescriptors = 400;
// Ended calls that are kept until the end of the tick, above which requests
// that callers have pipelined wait.
constexpr std::size_t kMaxEndedCalls = 512;
// Parts of the descriptors and of the memory that connections of other entries
// may use.
constexpr std::size_t kPeerConnectionsDivisor = 8;
constexpr std::size_t kMinPeerConnections = 64;
constexpr std::size_t kPeerMemoryDivisor = 8;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// Retry-After in seconds while this entry is not ready.
constexpr std::string_view kNotReadyRetryAfter = "0.5";
// Retry-After in seconds while other entries of the zone serve.
constexpr std::string_view kElsewhereRetryAfter = "0.05";
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::size_t kBytesPerMegabyte = 1'000'000;
// Bounds of Retry-After for bodies that find no room. Room comes back when
// calls end.
constexpr Milliseconds kMinRoomDelay{500};
constexpr Milliseconds kMaxRoomDelay{8000};

// Returns -1 for a fault that rests on no question.
int64_t AskedMillisecondsAgo(const TargetFault& fault, Instant now) {
  return fault.asked_at ? int64_t{RemainingMilliseconds(now, *fault.asked_at)}
                        : -1;
}

}  // namespace

FleetEntry::FleetEntry(FleetSettings settings, std::string settings_path)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      memory_ledger_(static_cast<std::size_t>(settings_.memory_mb) *
                     kBytesPerMegabyte),
      log_(settings_.name),
      random_(std::random_device{}()),
      retry_budgets_(RetryLimits()),
      client_(&loop_),
      store_(&client_, settings_.store_address, &log_),
      selector_(&registry_, settings_.zone),
      configuration_(&store_, &log_, [this] { peers_.PublishConfiguration(); }),
      targets_(&store_,
               &log_,
               &registry_,
               Milliseconds(settings_.leave_within_ms),
               [this](wire::TargetListDeltaT delta) {
                 peers_.PublishTargetList(std::move(delta));
               }),
      planner_(&store_,
               &client_,
               &log_,
               &registry_,
               settings_.peers_address.ToString(),
               settings_.group_minimum_ms),
      fault_detector_(
          &client_,
          &registry_,
          [this](const TargetFault& fault) { OnTargetFault(fault); },
          [this](const std::string& id) { OnTargetLeaving(id); }),
      crash_guard_(&loop_,
                   &log_,
                   &registry_,
                   [this](wire::CrashNoticeT notice, Instant now) {
                     peers_.AnnounceCrash(std::move(notice), now);
                   }),
      rate_limits_(&log_,
                   &registry_,
                   OwnRecord(),
                   [this](wire::RateLimitNoticeT notice, Instant now) {
                     peers_.AnnounceRateLimits(std::move(notice), now);
                   }),
      load_poller_(&client_, &registry_),
      peers_(&loop_,
             {&store_, &log_, &registry_, &configuration_, &targets_, &planner_,
              &retry_budgets_, &crash_guard_, &rate_limits_, PeerLimits()},
             OwnRecord(),
             Milliseconds(settings_.retry_window_ms),
             [this](const std::string& id, std::string_view) {
               CheckRefusalCause(id);
             }) {
  jitter_seed_ = random_();
  context_.client = &client_;
  context_.registry = &registry_;
  context_.selector = &selector_;
  context_.log = &log_;
  context_.metrics = &metrics_;
  context_.memory_ledger = &memory_ledger_;
  context_.random = &random_;
  context_.admission_queue = &admission_queue_;
  context_.response_length_estimator = &response_length_estimator_;
  context_.crash_guard = &crash_guard_;
  context_.rate_limits = &rate_limits_;
  context_.retry_budget = [this](const std::string& service) {
    return retry_budgets_.ForService(service);
  };
  context_.retry_after_scheduler = [this](const std::string& service) {
    return &retry_after_schedulers_[service];
  };
  context_.on_target_fault = [this](const TargetFault& fault) {
    OnTargetFault(fault);
  };
  context_.is_stopping = [this] { return stopping_; };
  client_.SetObserver(this);
  context_.on_refusal_cause = [this](const std::string& id) {
    CheckRefusalCause(id);
  };
}

FleetEntry::~FleetEntry() = default;

std::string FleetEntry::Start() {
  std::string fault =
      callers_listener_.Listen(&loop_, settings_.callers_address,
                               [this](std::unique_ptr<TcpStream> stream) {
                                 AcceptCaller(std::move(stream));
                               });
  if (fault.empty()) {
    fault = readiness_server_.Listen(
        &loop_, settings_.readiness_address, [this](const HttpHead&) {
          return SmallHttpResponse{IsReady() ? 200 : kUnavailable, {}, {}};
        });
  }
  if (fault.empty()) {
    fault = metrics_server_.Listen(
        &loop_, settings_.metrics_address, [this](const HttpHead&) {
          return SmallHttpResponse{200, "text/plain; version=0.0.4",
                                   metrics_.Serialize()};
        });
  }
  if (fault.empty())
    fault = peers_.Start(settings_.peer_seeds);
  if (!fault.empty())
    return fault;
  hold_until_ = EventLoop::Now() + kStartupHold;
  seek_lease_at_ = EventLoop::Now() + kStartupLeaseDelay;
  loop_.StartPeriodicTimer(kTickInterval, [this] { OnTick(); });
  loop_.OnSignal(SIGTERM, [this] { BeginStop(); });
  loop_.OnSignal(SIGINT, [this] { BeginStop(); });
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  log_.Write(Event::kNodeStarted, EventLoop::Now(),
             {{"zone", settings_.zone},
              {"callers", settings_.callers_address.ToString()},
              {"store", settings_.store_address.ToString()}});
  return {};
}

void FleetEntry::Run() {
  loop_.Run();
  log_.Write(Event::kNodeStopped, EventLoop::Now(), {});
  log_.Flush(EventLoop::Now());
}

bool FleetEntry::IsReady() const {
  return !stopping_ && configuration_.current() != nullptr &&
         targets_.complete();
}

void FleetEntry::AcceptCaller(std::unique_ptr<TcpStream> stream) {
  const auto limit = static_cast<std::size_t>(std::max(
      64, (settings_.maximum_connections - kReservedDescriptors) * 3 / 4));
  const bool is_full = callers_.size() >= limit;
  const bool evicted = is_full && EvictCaller(&callers_, EventLoop::Now());
  callers_evicted_ += evicted ? 1 : 0;
  if (is_full && !evicted) {
    log_.Write(Event::kCallerTurnedAway, EventLoop::Now(),
               {{"connections", static_cast<int64_t>(callers_.size())}});
    return;
  }
  const uint64_t id = next_connection_++;
  auto connection =
      std::make_unique<CallerConnection>(id, std::move(stream), this);
  if (stopping_)
    connection->DisableKeepAlive();
  else if (!IsReady() && EventLoop::Now() < hold_until_)
    connection->PauseReading();
  callers_.emplace(id, std::move(connection));
}

CallerLimits FleetEntry::limits() const {
  CallerLimits limits;
  if (configuration_.current() != nullptr)
    limits = configuration_.current()->configuration().limits;
  limits.body_timeout_ms = settings_.body_timeout_ms;
  return limits;
}

bool FleetEntry::TakesWaitingRequests() const {
  return ended_calls_.size() < kMaxEndedCalls;
}

MemberRecord FleetEntry::OwnRecord() const {
  MemberRecord record;
  record.address = settings_.peers_address.ToString();
  record.name = settings_.name;
  record.zone = settings_.zone;
  record.capacity = std::min(settings_.core_share * settings_.core_speed,
                             settings_.link_mbps / kMegabitsPerCore);
  return record;
}

PeerLinks::Limits FleetEntry::PeerLimits() {
  const auto connections =
      static_cast<std::size_t>(settings_.maximum_connections);
  const auto memory =
      static_cast<std::size_t>(settings_.memory_mb) * kBytesPerMegabyte;
  PeerLinks::Limits limits;
  limits.ledger = &memory_ledger_;
  limits.incoming_connections =
      std::clamp(connections / kPeerConnectionsDivisor, kMinPeerConnections,
                 limits.incoming_connections);
  limits.buffered_bytes =
      std::min(limits.buffered_bytes, memory / kPeerMemoryDivisor);
  return limits;
}

SharedRetryBudget::Limits FleetEntry::RetryLimits() const {
  SharedRetryBudget::Limits limits;
  limits.ratio = settings_.retry_share;
  limits.extra = settings_.retry_extra;
  limits.window = Milliseconds(settings_.retry_window_ms);
  return limits;
}

void FleetEntry::Refuse(CallerConnection* connection,
                        const std::string& attempt_id,
                        int status,
                        std::string_view cause,
                        std::string_view retry_after) {
  log_.Write(Event::kCallRefused, EventLoop::Now(),
             {{"id", attempt_id},
              {"status", static_cast<int64_t>(status)},
              {"cause", std::string(cause)},
              {"outcome", "not-run"}});
  metrics_.CountBadRequest(status);
  std::string fields;
  if (!attempt_id.empty())
    AppendField(platform::kAttemptIdField, attempt_id, &fields);
  if (!retry_after.empty())
    AppendField("Retry-After", retry_after, &fields);
  connection->SendResponse(status, {}, fields, {});
}

void FleetEntry::OnRequest(CallerConnection* connection,
                           HttpHead head,
                           std::string body) {
  const Instant now = EventLoop::Now();
  const platform::RequestFields fields = platform::DecodeRequest(head);
  connection->SetRequestName(fields.attempt_id);
  const std::shared_ptr<FleetIndex>& index = configuration_.current();
  if (index == nullptr) {
    Refuse(connection, fields.attempt_id, kUnavailable, "no configuration",
           kNotReadyRetryAfter);
    return;
  }
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  const ServiceRoute* route = index->FindRoute(fields.host, path);
  if (route == nullptr) {
    Refuse(connection, fields.attempt_id, kNotFound, "no route", {});
    return;
  }
  const Instant caller_deadline =
      now + Milliseconds(fields.caller_timeout_ms.value_or(
                kDefaultCallerTimeout.count()));
  Instant deadline = caller_deadline;
  if (route->timeout_ms > 0)
    deadline = std::min(deadline, now + Milliseconds(route->timeout_ms));
  if (stop_admission_) {
    const bool others_serve = peers_.members().MostOfZoneServes(now);
    if (!stop_admission_->Accepts(*route, deadline, others_serve, now)) {
      Refuse(connection, fields.attempt_id, kUnavailable, "stopping",
             others_serve ? kElsewhereRetryAfter : kNotReadyRetryAfter);
      return;
    }
  }
  CallRequest request;
  const bool keyed = !index->configuration().accounts.empty();
  if (keyed && !route->allow_anonymous) {
    request.account = index->FindAccount(fields.key);
    if (request.account == nullptr) {
      Refuse(connection, fields.attempt_id, kUnauthorized, "unknown key", {});
      return;
    }
  }
  if (fields.attempt_id.empty()) {
    Refuse(connection, fields.attempt_id, kBadRequest, "no id", {});
    return;
  }
  if (body.size() > MemoryLedger::kMaxSmallBody)
    refused_bodies_.RecordAccepted(now);
  request.attempt_id = fields.attempt_id;
  request.route = route;
  request.service =
      FleetIndex::PickService(*route, HashBytes(fields.attempt_id));
  request.arrived = now;
  request.caller_deadline = caller_deadline;
  request.deadline = deadline;
  request.prompt_tokens = fields.prompt_tokens;
  request.max_output_tokens = fields.max_answer_tokens;
  const ServiceDescription* service = index->FindService(request.service);
  if (service != nullptr && service->engine) {
    request.output_tokens = response_length_estimator_.EstimateTokens(
        request.service, service->engine->typical_output_tokens,
        request.max_output_tokens);
  }
  request.last_event = fields.last_event.value_or(kNoEvent);
  request.shared_parts = PartTraits(fields.prompt_parts);
  auto call = std::make_unique<RelayedCall>(
      &context_, index, connection, std::move(request), std::move(head),
      ShareHeldText(std::move(body), connection->TakeBodyHold()));
  // An earlier call that waited on this connection has been answered.
  admission_queue_.Remove(connection->id());
  RelayedCall* started = call.get();
  std::unique_ptr<RelayedCall>& slot = calls_[connection->id()];
  if (slot != nullptr)
    RetireCall(std::move(slot), now);
  slot = std::move(call);
  started->Start(now);
}

void FleetEntry::RetireCall(std::unique_ptr<RelayedCall> call, Instant now) {
  const CallRequest& request = call->call().request();
  // A call that reached no target does not show how long calls take.
  if (call->call().sends() > 0) {
    call_durations_.Record(
        request.route->name,
        std::chrono::duration_cast<Milliseconds>(now - request.arrived), now);
  }
  ended_calls_.push_back(std::move(call));
}

void FleetEntry::OnCallerGone(CallerConnection* connection) {
  const auto it = calls_.find(connection->id());
  if (it == calls_.end())
    return;
  const Instant now = EventLoop::Now();
  admission_queue_.Remove(connection->id());
  it->second->OnCallerGone(now);
  RetireCall(std::move(it->second), now);
  calls_.erase(it);
}

int FleetEntry::OnBadRequest(CallerConnection*, int status) {
  // Only the configuration says which requests are too large.
  const bool is_limit_unknown =
      configuration_.current() == nullptr &&
      (status == kBodyTooLarge || status == kHeadTooLarge);
  const int answered = is_limit_unknown ? kUnavailable : status;
  metrics_.CountBadRequest(answered);
  log_.Write(
      Event::kCallRefused, EventLoop::Now(),
      {{"status", static_cast<int64_t>(answered)},
       {"cause", is_limit_unknown ? "no configuration" : "malformed request"}});
  return answered;
}

void FleetEntry::OnBodyRefused(CallerConnection* connection) {
  const std::string attempt_id =
      platform::DecodeRequest(connection->head()).attempt_id;
  connection->SetRequestName(attempt_id);
  const Milliseconds delay = refused_bodies_.ReserveDelay(
      kMinRoomDelay, kMaxRoomDelay, EventLoop::Now());
  Refuse(connection, attempt_id, kUnavailable, "memory",
         std::to_string(static_cast<double>(delay.count()) /
                        kMillisecondsPerSecond));
}

void FleetEntry::OnConnectionEnd(CallerConnection* connection,
                                 const CallerConnectionEnd& end) {
  if (!end.is_incomplete())
    return;
  const Instant now = EventLoop::Now();
  const std::string* attempt_id =
      end.request_partial ? connection->head().Find(platform::kAttemptIdField)
                          : &connection->request_name();
  log_.Write(Event::kCallerConnectionEnded, now,
             {{"id", attempt_id == nullptr ? std::string() : *attempt_id},
              {"connection", static_cast<int64_t>(connection->id())},
              {"by", std::string(kCallerEndCauseNames.Name(end.cause))},
              {"request", end.response_begun    ? "answering"
                          : end.request_open    ? "open"
                          : end.request_partial ? "partial"
                                                : "none"},
              {"read", static_cast<int64_t>(end.bytes_read)},
              {"written", static_cast<int64_t>(end.bytes_written)},
              {"unsent", static_cast<int64_t>(end.bytes_unsent)},
              {"unread", static_cast<int64_t>(end.bytes_unread)},
              {"stopping_ms", stopping_ ? (now - stop_began_) / Milliseconds(1)
                                        : int64_t{-1}}});
}

void FleetEntry::CheckRefusalCause(const std::string& target_id) {
  const FleetTarget* target = registry_.Find(target_id);
  if (target == nullptr || configuration_.current() == nullptr)
    return;
  const ServiceDescription* service =
      configuration_.current()->FindService(target->record.service);
  const double capacity =
      service != nullptr && service->engine
          ? PathChooser::CapacityTokenLayers(*service->engine, *target)
          : 0;
  fault_detector_.InvestigateRefusal(target_id, capacity, EventLoop::Now());
}

void FleetEntry::OnRequestSending(const std::string& address) {
  if (FleetTarget* target = registry_.FindAddress(address))
    target->rate_limit.RecordRequest(EventLoop::Now());
}

void FleetEntry::OnBytesReceived(const std::string& address,
                                 std::size_t bytes) {
  congestion_.RecordReceived(bytes);
  if (FleetTarget* target = registry_.FindAddress(address))
    target->heard_at = EventLoop::Now();
}

void FleetEntry::OnConnected(const std::string&, Milliseconds took) {
  congestion_.RecordConnect(took);
}

void FleetEntry::OnHeadReceived(const std::string& address,
                                const HttpHead& head,
                                std::optional<Instant> sent_at) {
  FleetTarget* target = registry_.FindAddress(address);
  if (target == nullptr)
    return;
  const platform::TargetNotice notice = platform::DecodeNotice(head);
  if (!notice.is_from_target)
    return;
  const Instant now = EventLoop::Now();
  rate_limits_.OnResponse(target, notice, sent_at, now);
  if (notice.leaving)
    ApplyLeaving(target, now);
  if (notice.retry_after || notice.retry_after_invalid)
    ApplyRetryAfter(target, notice, now);
}

void FleetEntry::ApplyLeaving(FleetTarget* target, Instant now) {
  const std::string& id = target->record.id;
  if (!registry_.MarkLeaving(id, target->record.started_unix_ms))
    return;
  log_.Write(Event::kTargetLeaves, now,
             {{"target", id}, {"evidence", "its answer"}});
  peers_.AnnounceLeaving(*target);
}

void FleetEntry::ApplyRetryAfter(FleetTarget* target,
                                 const platform::TargetNotice& notice,
                                 Instant now) {
  const Milliseconds retry_after = notice.retry_after.value_or(Milliseconds(0));
  registry_.SetBackoff(target, now + retry_after);
  log_.Write(Event::kTargetRests, now,
             {{"target", target->record.id},
              {"for_ms", static_cast<int64_t>(retry_after.count())},
              {"odd", notice.retry_after_invalid}});
}

void FleetEntry::OnTargetLeaving(const std::string& target_id) {
  const Instant now = EventLoop::Now();
  FleetTarget* target = registry_.Find(target_id);
  if (target == nullptr || !registry_.IsUsable(*target, now))
    return;
  // Streams that the target serves continue there; only new calls and the
  // planner avoid it.
  SuspectTarget(target, {target_id, "turns calls away with memory to spare"},
                now);
}

void FleetEntry::SuspectTarget(FleetTarget* target,
                               const TargetFault& fault,
                               Instant now) {
  const Instant until = registry_.Suspect(target, now);
  if (fault.asked_at)
    registry_.RecordCheck(target, /*answered=*/false);
  log_.Write(
      Event::kTargetSuspected, now,
      {{"target", target->record.id},
       {"evidence", fault.evidence},
       {"asked_ms_ago", AskedMillisecondsAgo(fault, now)},
       {"heard_ms_ago",
        int64_t{RemainingMilliseconds(now, LastContact(*target))}},
       {"for_ms", static_cast<int64_t>(RemainingMilliseconds(until, now))}});
  // Peers check the target themselves before they act on this.
  peers_.AnnounceFault(*target, fault.evidence);
}

void FleetEntry::DoubtFault(const TargetFault& fault, Instant now) {
  log_.Write(Event::kTargetFaultDoubted, now,
             {{"target", fault.target_id},
              {"evidence", fault.evidence},
              {"asked_ms_ago", AskedMillisecondsAgo(fault, now)}});
  // The target works, but calls that stand still may have lost their way to it.
  for (RelayedCall* it : OpenCalls()) {
    if (it->call().IsStalled(now))
      it->OnPathFault(fault.target_id, now);
  }
}

Instant FleetEntry::LastContact(const FleetTarget& target) const {
  Instant last = target.heard_at;
  for (const auto& [id, call] : calls_) {
    const auto& hops = call->call().dispatch().hop_ids;
    const auto event = call->call().last_event_time();
    // Reading of a paused answer depends on its caller alone.
    if (event && !call->is_paused() && *event > last &&
        std::find(hops.begin(), hops.end(), target.record.id) != hops.end())
      last = *event;
  }
  return last;
}

bool FleetEntry::IsLocalNetworkFault(const std::string& target_id,
                                     Instant now) {
  std::erase_if(unreached_targets_, [now](const auto& it) {
    return now > it.second + kUnreachedWindow;
  });
  unreached_targets_[target_id] = now;
  const std::size_t bound = std::max(
      kMinUnreachedTargets, registry_.rows().size() / kUnreachedTargetsDivisor);
  return unreached_targets_.size() > bound;
}

void FleetEntry::OnTargetFault(const TargetFault& fault) {
  const Instant now = EventLoop::Now();
  FleetTarget* target = registry_.Find(fault.target_id);
  if (target == nullptr)
    return;
  if (fault.IsDisprovedBy(LastContact(*target))) {
    DoubtFault(fault, now);
    return;
  }
  if (!fault.confirmed_by_target && IsLocalNetworkFault(fault.target_id, now))
    return;
  if (registry_.IsUsable(*target, now))
    SuspectTarget(target, fault, now);
  if (const auto address = ParseSocketAddress(target->record.address))
    client_.CloseIdleConnections(*address);
  for (RelayedCall* it : OpenCalls())
    it->OnPathFault(fault.target_id, now);
}

std::vector<RelayedCall*> FleetEntry::OpenCalls() const {
  std::vector<RelayedCall*> open;
  open.reserve(calls_.size());
  for (const auto& [id, call] : calls_)
    open.push_back(call.get());
  return open;
}

void FleetEntry::OnTick() {
  const Instant now = EventLoop::Now();
  LogCongestion(now);
  client_.OnTick(now);
  crash_guard_.SetRole(peers_.members().IsFleetLeader(now),
                       peers_.known_entries().value_or(1));
  crash_guard_.OnTick(now);
  const std::size_t reader_rank = peers_.reader_rank();
  configuration_.OnTick(reader_rank, jitter_seed_, now);
  UpdateServices(now);
  targets_.OnTick(reader_rank, jitter_seed_, now);
  planner_.SetCandidate(peers_.known_entries().has_value() &&
                        now >= seek_lease_at_ && reader_rank == 0);
  planner_.OnTick(configuration_.current(), targets_.complete(),
                  targets_.last_new_target(), now);
  if (planner_.plans() && configuration_.current() != nullptr)
    load_poller_.OnTick(*configuration_.current(), now);
  peers_.OnTick(now);
  UpdateBudgetShares();
  rate_limits_.OnTick(peers_.known_entries().value_or(kAssumedEntries),
                      peers_.propagation_time(), now);
  TickCalls(now);
  TickCallers(now);
  readiness_server_.OnTick(now);
  metrics_server_.OnTick(now);
  UpdateGauges(now);
  log_.Flush(now);
  if (stopping_)
    TickStop(now);
}

void FleetEntry::UpdateServices(Instant now) {
  if (configuration_.current() == services_source_)
    return;
  services_source_ = configuration_.current();
  targets_.SetServices(services_source_->ServiceNames(), now);
}

void FleetEntry::LogCongestion(Instant now) {
  const std::optional<CongestionReport> seen = congestion_.OnTick(now);
  if (!seen)
    return;
  std::size_t queued = 0;
  for (const auto& [id, connection] : callers_)
    queued += connection->queued_bytes();
  log_.Write(
      Event::kNodeCongested, now,
      {{"tick_gap_ms", static_cast<int64_t>(seen->longest_tick_gap.count())},
       {"connect_ms", static_cast<int64_t>(seen->slowest_connect.count())},
       {"connects", static_cast<int64_t>(seen->connects)},
       {"received_bytes", static_cast<int64_t>(seen->bytes_received)},
       {"unsent_bytes", static_cast<int64_t>(queued)},
       {"calls", static_cast<int64_t>(calls_.size())},
       {"stopping", stopping_}});
}

void FleetEntry::UpdateBudgetShares() {
  // A high number is assumed until the list of entries was read. An entry that
  // falls silent still counts, since it may still spend its part.
  const int entries = peers_.known_entries().value_or(kAssumedEntries);
  const Milliseconds propagation_time = peers_.propagation_time();
  if (entries == budget_entries_ && propagation_time == propagation_time_)
    return;
  budget_entries_ = entries;
  propagation_time_ = propagation_time;
  retry_budgets_.SetEntries(budget_entries_, propagation_time_);
  selector_.SetEntries(budget_entries_);
}

void FleetEntry::TickCalls(Instant now) {
  admission_queue_.OnTick(
      now,
      [this, now](uint64_t id) {
        const auto it = calls_.find(id);
        return it == calls_.end() || it->second->TrySendWaiting(now);
      },
      [this, now](uint64_t id) {
        const auto it = calls_.find(id);
        if (it != calls_.end())
          it->second->OnCapacityWaitTimeout(now);
      });
  if (crash_guard_.TakeNewQuarantine()) {
    for (RelayedCall* it : OpenCalls())
      it->CheckQuarantine(now);
  }
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second->done()) {
      RetireCall(std::move(it->second), now);
      it = calls_.erase(it);
      continue;
    }
    ++it;
  }
  const std::vector<RelayedCall*> open = OpenCalls();
  for (RelayedCall* it : open) {
    it->OnTick(now);
    if (const CallDispatch* path = it->call().FindOverduePath(now))
      fault_detector_.InvestigateStall(path->target_id, now);
  }
  ProbeSilentTargets(open, now);
  fault_detector_.CheckSuspects(now);
  RerouteReleasedLayers(open, now);
  ended_calls_.clear();
}

void FleetEntry::ProbeSilentTargets(const std::vector<RelayedCall*>& calls,
                                    Instant now) {
  std::vector<StreamActivity> streams;
  streams.reserve(calls.size());
  for (const RelayedCall* it : calls) {
    const CallDispatch& path = it->call().dispatch();
    if (const auto last_event_time = it->call().last_event_time();
        last_event_time && !it->is_paused())
      streams.push_back({&path.hop_ids, *last_event_time, path.event_ms});
  }
  for (const std::string& it : StallDetector::FindSuspects(streams, now))
    fault_detector_.Probe(it, now);
}

void FleetEntry::RerouteReleasedLayers(const std::vector<RelayedCall*>& calls,
                                       Instant now) {
  if (now < next_layer_check_)
    return;
  next_layer_check_ = now + kLayerCheckInterval;
  for (RelayedCall* call : calls) {
    const CallDispatch& path = call->call().dispatch();
    bool released = false;
    for (std::size_t it = 1; it < path.layers.size(); ++it) {
      const FleetTarget* target = registry_.Find(path.hop_ids[it]);
      released =
          released || (target != nullptr &&
                       (!target->record.layers ||
                        !target->record.layers->Contains(path.layers[it])));
    }
    if (released)
      call->OnLayersReleased(now);
  }
}

void FleetEntry::TickCallers(Instant now) {
  if (holding_ && (IsReady() || now >= hold_until_)) {
    holding_ = false;
    std::vector<CallerConnection*> held;
    for (const auto& [id, connection] : callers_)
      held.push_back(connection.get());
    for (CallerConnection* it : held)
      it->Resume();
  }
  std::erase_if(callers_, [now](auto& it) { return !it.second->OnTick(now); });
}

void FleetEntry::UpdateGauges(Instant now) {
  if (now < next_gauges_)
    return;
  next_gauges_ = now + kGaugeInterval;
  metrics_.SetGauge("caller_connections", static_cast<double>(callers_.size()));
  metrics_.SetGauge("callers_evicted", static_cast<double>(callers_evicted_));
  metrics_.SetGauge("calls_under_way", static_cast<double>(calls_.size()));
  metrics_.SetGauge("calls_waiting",
                    static_cast<double>(admission_queue_.size()));
  metrics_.SetGauge("held_bytes",
                    static_cast<double>(memory_ledger_.held_bytes()));
  metrics_.SetGauge("targets", static_cast<double>(registry_.rows().size()));
  metrics_.SetGauge("rejected_target_records",
                    static_cast<double>(targets_.rejected_records()));
  metrics_.SetGauge("plans", planner_.plans() ? 1 : 0);
  metrics_.SetGauge("live_entries", peers_.members().live(now));
  metrics_.SetGauge("zone_rank",
                    static_cast<double>(peers_.members().own_rank()));
  metrics_.SetGauge("store_reachable", store_.reachable() ? 1 : 0);
  metrics_.SetGauge("store_calls", static_cast<double>(store_.calls()));
  metrics_.SetGauge("log_lines_dropped", static_cast<double>(log_.dropped()));
  metrics_.SetGauge("target_connections_opened",
                    static_cast<double>(client_.connections_opened()));
  UpdateQuarantineMetrics(now);
  UpdateRateLimitMetrics();
  if (configuration_.current() != nullptr) {
    metrics_.SetGauge(
        "configuration_version",
        static_cast<double>(configuration_.current()->configuration().version));
  }
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    const auto seconds = [](const timeval& it) {
      return static_cast<double>(it.tv_sec) +
             static_cast<double>(it.tv_usec) / 1e6;
    };
    metrics_.SetGauge("processor_seconds",
                      seconds(usage.ru_utime) + seconds(usage.ru_stime));
    metrics_.SetGauge("peak_memory_kilobytes",
                      static_cast<double>(usage.ru_maxrss));
  }
}

void FleetEntry::UpdateQuarantineMetrics(Instant now) {
  FleetMetrics::GaugeValues ages;
  for (const QuarantineRow& it : crash_guard_.quarantine().Rows()) {
    if (!it.lifted) {
      ages[{it.service, FormatTraits(it.traits)}] =
          std::chrono::duration<double>(now - it.since).count();
    }
  }
  metrics_.SetGauge("quarantines", static_cast<double>(ages.size()));
  metrics_.SetQuarantines(ages);
}

void FleetEntry::UpdateRateLimitMetrics() {
  FleetMetrics::GaugeValues limits;
  FleetMetrics::GaugeValues requests;
  for (const auto& [id, row] : registry_.rows()) {
    const TargetRateLimit& limit = row->rate_limit;
    if (!limit.per_second())
      continue;
    limits[{row->record.service, id}] = *limit.per_second();
    requests[{row->record.service, id}] = static_cast<double>(limit.requests());
  }
  metrics_.SetRateLimits(limits, requests);
}

void FleetEntry::BeginStop() {
  if (std::exchange(stopping_, true))
    return;
  stop_began_ = EventLoop::Now();
  // The stop timeout may have changed without a signal.
  Reload();
  stop_admission_.emplace(
      stop_began_,
      stop_began_ + Milliseconds(settings_.stop_timeout_ms) - kForcedStopMargin,
      &call_durations_);
  exit_deadline_ =
      stop_began_ + Milliseconds(settings_.stop_timeout_ms) - kExitMargin;
  // Callers held since the start are answered now.
  hold_until_ = stop_began_;
  log_.Write(Event::kNodeLeaving, stop_began_,
             {{"calls", static_cast<int64_t>(calls_.size())}});
  planner_.Leave();
  for (const auto& [id, connection] : callers_)
    connection->DisableKeepAlive();
}

void FleetEntry::EndOpenCalls(Instant now) {
  if (std::exchange(calls_ended_, true))
    return;
  for (RelayedCall* it : OpenCalls())
    it->OnForcedStop(now);
}

void FleetEntry::TickStop(Instant now) {
  const bool forced = now >= stop_admission_->stop_deadline();
  if (forced) {
    callers_listener_.Close();
    EndOpenCalls(now);
  }
  if (now >= exit_deadline_) {
    for (const auto& [id, connection] : callers_)
      connection->Abort();
    loop_.Stop();
    return;
  }
  // Idle connections are closed once the load balancer has stopped sending
  // callers here.
  if (!forced && now < stop_began_ + kBalancerNoticeTime)
    return;
  for (const auto& [id, connection] : callers_)
    connection->CloseIfIdle(now);
  std::erase_if(callers_, [](const auto& it) { return it.second->closed(); });
  if (!calls_.empty() || !callers_.empty())
    return;
  // Callers that are still in the listener's queue are served first.
  if (callers_listener_.is_listening())
    callers_listener_.Close();
  else
    loop_.Stop();
}

void FleetEntry::Reload() {
  SettingsFaults faults;
  const FleetSettings settings = LoadFleetSettings(settings_path_, &faults);
  const Instant now = EventLoop::Now();
  if (!faults.empty()) {
    log_.Write(Event::kSettingsReloaded, now,
               {{"accepted", false}, {"fault", faults.front().ToString()}});
    return;
  }
  // Other settings, such as addresses, take effect only after a restart.
  settings_.stop_timeout_ms = settings.stop_timeout_ms;
  settings_.maximum_connections = settings.maximum_connections;
  log_.Write(Event::kSettingsReloaded, now, {{"accepted", true}});
}

}  // namespace bbv
