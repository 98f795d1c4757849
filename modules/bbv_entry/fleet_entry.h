#ifndef MODULES_BBV_ENTRY_FLEET_ENTRY_H_
#define MODULES_BBV_ENTRY_FLEET_ENTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/load_watch.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_entry/planner_agent.h"
#include "bbv_entry/relayed_call.h"
#include "bbv_entry/stall_watch.h"
#include "bbv_entry/store_client.h"
#include "bbv_entry/target_follower.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/http_client.h"
#include "bbv_front/small_http_server.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"
#include "bbv_settings/fleet_settings.h"

namespace bbv {

// An entry before targets that forward among themselves: takes callers'
// requests, follows the store, and plans layers when it holds the lease.
//
// Thread safety: none, everything runs on the thread that calls Run().
class FleetEntry final : public CallerRequestHandler {
 public:
  // `settings_path` is read again on SIGHUP.
  FleetEntry(FleetSettings settings, std::string settings_path);
  ~FleetEntry() override;

  // Returns an empty text, or why the entry cannot start.
  std::string Start();

  // Runs until the entry has stopped after SIGTERM or SIGINT.
  void Run();

  // CallerRequestHandler:
  void OnRequest(CallerConnection* connection,
                 HttpHead head,
                 std::string body) override;
  void OnCallerGone(CallerConnection* connection) override;
  void OnBadRequest(CallerConnection* connection, int status) override;

 private:
  void AcceptCaller(std::unique_ptr<TcpStream> stream);
  void OnTick();
  void TickCallers(Instant now);
  void TickCalls(Instant now);
  // Asks targets through which several streams have fallen silent.
  void ProbeSilentTargets(const std::vector<RelayedCall*>& calls, Instant now);
  // Takes calls off targets that give up layers which the calls run there.
  void LeaveGivenUpLayers(const std::vector<RelayedCall*>& calls, Instant now);
  // Calls that are open now. They stay valid until the end of the tick, also
  // when they end meanwhile.
  std::vector<RelayedCall*> OpenCalls() const;
  void TickStop(Instant now);
  void ShareBudgets();
  void BeginStop();
  void Reload();
  void UpdateGauges(Instant now);
  // A target failed; `witnessed` when other targets saw it, so that it holds
  // for all entries and not for this one's connections alone.
  void TakeTargetFault(const std::string& target_id,
                       std::string_view evidence,
                       bool witnessed);
  // A target was named as the cause for which a call was turned away.
  void DoubtTarget(const std::string& target_id);
  // Acts on what a target said of itself in an answer.
  void TakeNotice(const std::string& address,
                  const platform::TargetNotice& notice);
  // A target takes no new calls, though the list does not say that it leaves.
  void TakeLeavingTarget(const std::string& target_id);
  // Takes a usable target out for a time; tells the peers when others saw it.
  void SuspectTarget(FleetTarget* target,
                     std::string_view evidence,
                     Instant now);
  // Counts that this entry did not reach `target_id`; whether so many were not
  // that the cause must be here.
  bool IsOwnTrouble(const std::string& target_id, Instant now);
  bool IsReady() const;
  void Refuse(CallerConnection* connection,
              const std::string& attempt_id,
              int status,
              std::string_view cause,
              bool may_return);
  // Whether a call taken now can end before this entry's own end.
  bool MayStillTake(const ServiceRoute& route, Instant now) const;
  SharedRetryBudget::Limits RetryLimits() const;
  MemberRecord OwnRecord() const;

  FleetSettings settings_;
  std::string settings_path_;
  EventLoop loop_;
  DecisionLog log_;
  FleetMetrics metrics_;
  std::mt19937_64 random_;
  RetryBudgets budgets_;
  HttpClient client_;
  StoreClient store_;
  TargetBoard board_;
  TargetSelector selector_;
  ConfigurationFollower configuration_;
  TargetFollower targets_;
  PlannerAgent planner_;
  StallWatch stalls_;
  LoadWatch loads_;
  PeerExchange peers_;
  WaitingRoom waiting_room_;
  AnswerLengths answer_lengths_;
  // Returns of refused callers, by service.
  std::map<std::string, ReturnSchedule> returns_;
  CallContext context_;
  TcpListener callers_listener_;
  SmallHttpServer readiness_server_;
  SmallHttpServer metrics_server_;

  uint64_t next_connection_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> callers_;
  // Calls by their caller's connection, and those whose callers have left.
  std::unordered_map<uint64_t, std::unique_ptr<RelayedCall>> calls_;
  std::vector<std::unique_ptr<RelayedCall>> ended_calls_;

  bool stopping_ = false;
  Instant stop_began_{};
  Instant stop_deadline_{};
  Instant next_gauges_{};
  Instant next_layer_check_{};
  // Spreads entries that would do the same at the same moment.
  uint64_t draw_ = 0;
  // Targets that this entry did not reach lately, and when.
  std::map<std::string, Instant> unreached_;
  // Entries that share the retry budget, as of the last look.
  int entries_ = 0;
  // Time in which entries tell each other what they spent.
  Milliseconds spread_time_{};
  // Whether callers' connections may be on hold, and until when.
  bool holding_ = true;
  Instant hold_until_{};
  // From when on it may seek the planner's lease.
  Instant seek_lease_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FLEET_ENTRY_H_
