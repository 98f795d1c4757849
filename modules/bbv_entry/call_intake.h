#ifndef MODULES_BBV_ENTRY_CALL_INTAKE_H_
#define MODULES_BBV_ENTRY_CALL_INTAKE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_entry/configuration_follower.h"
#include "bbv_entry/open_calls.h"
#include "bbv_entry/peer_exchange.h"
#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/caller_connection.h"
#include "bbv_front/caller_eviction.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_observe/decision_log.h"
#include "bbv_observe/fleet_metrics.h"
#include "bbv_settings/fleet_settings.h"
#include "platform/call_codec.h"

namespace bbv {

// The callers' side of an entry: accepts their connections, turns each request
// into a call, and refuses requests that cannot become one.
//
// Thread safety: none, the loop's thread.
class CallIntake final : public CallerRequestHandler {
 public:
  // Objects that are read and updated; all must outlive this and are used only
  // after the construction.
  struct Parts {
    const FleetSettings* settings = nullptr;
    MemoryLedger* memory_ledger = nullptr;
    DecisionLog* log = nullptr;
    FleetMetrics* metrics = nullptr;
    const ConfigurationFollower* configuration = nullptr;
    const PeerExchange* peers = nullptr;
    AdmissionControl* admission_control = nullptr;
    ResponseLengthEstimator* response_length_estimator = nullptr;
    CallContext* context = nullptr;
    OpenCalls* calls = nullptr;
  };

  // `is_ready` returns whether the entry can route calls.
  CallIntake(const Parts& parts, std::function<bool()> is_ready);

  // Holds new connections until the entry is ready, until `hold_until` at most.
  void HoldUntil(Instant hold_until) { hold_until_ = hold_until; }

  // Takes over a caller's connection; closes it if there are too many.
  void Accept(std::unique_ptr<TcpStream> stream);

  void OnTick(Instant now);

  // The entry begins to stop: calls that it has no time for are refused, and
  // connections end after their response. Precondition: not called before.
  void BeginStop(Instant stop_deadline, Instant now);
  // Closes the connections that carry no request.
  void CloseIdle(Instant now);
  // Breaks off all connections.
  void Abort();

  std::size_t connections() const { return callers_.size(); }
  // Connections that were closed to make room for others.
  uint64_t evicted() const { return evicted_; }
  // Bytes of responses that callers have not taken.
  std::size_t queued_bytes() const;

  // CallerRequestHandler:
  CallerLimits limits() const override;
  MemoryLedger* memory_ledger() override { return parts_.memory_ledger; }
  bool TakesWaitingRequests() const override;
  void OnRequest(CallerConnection* connection,
                 HttpHead head,
                 std::string body) override;
  void OnCallerGone(CallerConnection* connection) override;
  int OnBadRequest(CallerConnection* connection, int status) override;
  void OnBodyRefused(CallerConnection* connection) override;
  void OnConnectionEnd(CallerConnection* connection,
                       const CallerConnectionEnd& end) override;

 private:
  // Why a request does not become a call. An empty `retry_after` says that a
  // repetition does not help.
  struct Refusal {
    int status = 0;
    std::string_view cause;
    std::string_view retry_after;
  };

  // Finds the route and the account of a request and sets its deadlines.
  // Returns why it is refused instead; empty if it is not.
  std::optional<Refusal> FindRefusal(const FleetIndex& index,
                                     const platform::RequestFields& fields,
                                     const HttpHead& head,
                                     Instant now,
                                     CallRequest* request) const;
  // Fills in what a call of an accepted request needs beside that.
  void DescribeCall(const FleetIndex& index,
                    const platform::RequestFields& fields,
                    CallRequest* request) const;
  void Refuse(CallerConnection* connection,
              const std::string& attempt_id,
              const Refusal& refusal);

  // Returns whether one more connection may be accepted although `limit` are
  // open; closes others for it.
  bool MakeRoom(std::size_t limit);
  RoomForCaller EvictOne();

  Parts parts_;
  std::function<bool()> is_ready_;
  uint64_t next_connection_ = 1;
  CallerConnections callers_;
  // Connections closed to make room for others.
  uint64_t evicted_ = 0;
  // Delays given to callers whose bodies found no room.
  RetryAfterScheduler refused_bodies_;
  // Whether new connections may be held during startup, and until when.
  bool holding_ = true;
  Instant hold_until_{};
  // Set while stopping.
  std::optional<Instant> stop_began_;
  std::optional<StopAdmission> stop_admission_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_INTAKE_H_
