#include "bbv_entry/fleet_entry.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kTickInterval{20};
// After the stop signal the load balancer keeps sending callers here until it
// notices that the entry is not ready.
constexpr Milliseconds kBalancerNoticeTime{2400};
// The entry ends its open calls, and exits, this long before the stop timeout,
// at which it would be killed.
constexpr Milliseconds kForcedStopMargin{300};
constexpr Milliseconds kExitMargin{100};
// How long connections of callers are held while a starting entry cannot route
// calls yet.
constexpr Milliseconds kStartupHold{700};
// Time in which a starting entry learns of the entries that rank before it.
constexpr Milliseconds kStartupLeaseDelay{800};
// Number of entries assumed to share the retry budget and rate limits until the
// list of entries was read.
constexpr int kAssumedEntries = 24;
// Link bandwidth in Mbit/s that one processor core can fill. An instance with
// less bandwidth per core is ranked by its link.
constexpr double kMegabitsPerCore = 200;
// Parts of the descriptors and of the memory that connections of other entries
// may use.
constexpr std::size_t kPeerConnectionsDivisor = 8;
constexpr std::size_t kMinPeerConnections = 64;
constexpr std::size_t kPeerMemoryDivisor = 8;
constexpr int kUnavailable = 503;
constexpr std::size_t kBytesPerMegabyte = 1'000'000;

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
      target_monitor_({&client_, &registry_, &log_, &configuration_,
                       &rate_limits_, &peers_, &calls_, &congestion_}),
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
               target_monitor_.CheckRefusalCause(id);
             }),
      admission_control_(&log_, &metrics_),
      intake_({&settings_, &memory_ledger_, &log_, &metrics_, &configuration_,
               &peers_, &admission_control_, &response_length_estimator_,
               &context_, &calls_},
              [this] { return IsReady(); }),
      telemetry_({&metrics_, &log_, &congestion_, &intake_, &calls_,
                  &admission_control_, &memory_ledger_, &registry_, &targets_,
                  &planner_, &peers_, &store_, &client_, &crash_guard_,
                  &configuration_}) {
  jitter_seed_ = random_();
  context_.client = &client_;
  context_.registry = &registry_;
  context_.selector = &selector_;
  context_.log = &log_;
  context_.metrics = &metrics_;
  context_.memory_ledger = &memory_ledger_;
  context_.random = &random_;
  context_.admission_control = &admission_control_;
  context_.response_length_estimator = &response_length_estimator_;
  context_.crash_guard = &crash_guard_;
  context_.rate_limits = &rate_limits_;
  context_.retry_budget = [this](const std::string& service) {
    return retry_budgets_.ForService(service);
  };
  context_.on_target_fault = [this](const TargetFault& fault) {
    target_monitor_.OnTargetFault(fault);
  };
  context_.on_misdirected = [this](const CallDispatch& dispatch) {
    target_monitor_.OnMisdirected(dispatch);
  };
  context_.is_stopping = [this] { return stopping_; };
  client_.SetObserver(&target_monitor_);
  context_.on_refusal_cause = [this](const std::string& id) {
    target_monitor_.CheckRefusalCause(id);
  };
}

FleetEntry::~FleetEntry() = default;

std::string FleetEntry::Start() {
  std::string fault =
      callers_listener_.Listen(&loop_, settings_.callers_address,
                               [this](std::unique_ptr<TcpStream> stream) {
                                 intake_.Accept(std::move(stream));
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
  intake_.HoldUntil(EventLoop::Now() + kStartupHold);
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

void FleetEntry::OnTick() {
  const Instant now = EventLoop::Now();
  telemetry_.LogCongestion(stopping_, now);
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
  intake_.OnTick(now);
  readiness_server_.OnTick(now);
  metrics_server_.OnTick(now);
  telemetry_.OnTick(now);
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
  admission_control_.OnTick(
      now,
      [this, now](uint64_t id) {
        RelayedCall* call = calls_.Find(id);
        return call == nullptr || call->TrySendWaiting(now);
      },
      [this, now](uint64_t id) {
        if (RelayedCall* call = calls_.Find(id))
          call->OnCapacityWaitTimeout(now);
      });
  if (crash_guard_.TakeNewQuarantine()) {
    for (RelayedCall* it : calls_.List())
      it->CheckQuarantine(now);
  }
  calls_.RetireDone(now);
  const std::vector<RelayedCall*> open =
      calls_.HasBrokenPath() ? calls_.ListByUrgency(now) : calls_.List();
  for (RelayedCall* it : open) {
    it->OnTick(now);
    target_monitor_.InvestigateStall(*it, now);
  }
  target_monitor_.OnTick(open, now);
  calls_.DestroyEnded();
}

void FleetEntry::BeginStop() {
  if (std::exchange(stopping_, true))
    return;
  stop_began_ = EventLoop::Now();
  // The stop timeout may have changed without a signal.
  Reload();
  const Instant timeout = stop_began_ + Milliseconds(settings_.stop_timeout_ms);
  stop_deadline_ = timeout - kForcedStopMargin;
  exit_deadline_ = timeout - kExitMargin;
  log_.Write(Event::kNodeLeaving, stop_began_,
             {{"calls", static_cast<int64_t>(calls_.size())}});
  planner_.Leave();
  intake_.BeginStop(stop_deadline_, stop_began_);
}

void FleetEntry::EndOpenCalls(Instant now) {
  if (std::exchange(calls_ended_, true))
    return;
  for (RelayedCall* it : calls_.List())
    it->OnForcedStop(now);
}

void FleetEntry::TickStop(Instant now) {
  const bool forced = now >= stop_deadline_;
  if (forced) {
    callers_listener_.Close();
    EndOpenCalls(now);
  }
  if (now >= exit_deadline_) {
    intake_.Abort();
    loop_.Stop();
    return;
  }
  // Idle connections are closed once the load balancer has stopped sending
  // callers here.
  if (!forced && now < stop_began_ + kBalancerNoticeTime)
    return;
  intake_.CloseIdle(now);
  if (!calls_.empty() || intake_.connections() > 0)
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
