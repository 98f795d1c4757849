#ifndef MODULES_BBV_ENTRY_FAULT_DETECTOR_H_
#define MODULES_BBV_ENTRY_FAULT_DETECTOR_H_

#include <functional>
#include <map>
#include <string>

#include "bbv_entry/target_requests.h"
#include "bbv_fleet/target_fault.h"
#include "bbv_fleet/target_registry.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Identifies faulty targets by requesting their reports: finds the hop that
// stalled streams wait for, and checks whether a target named in a refusal is
// alive. Requests to each target are limited to a few per second.
//
// Thread safety: none, the loop's thread.
class FaultDetector {
 public:
  // Called with a target that seems faulty.
  using OnFault = std::function<void(const TargetFault& fault)>;

  // Called with a target when a process at its address states that it is
  // another one.
  using OnRefuted = std::function<void(const std::string& target_id)>;

  // Called with a target that repeatedly refuses calls although it has free
  // memory, which means that it is leaving.
  using OnLeaving = std::function<void(const std::string& target_id)>;

  FaultDetector(HttpClient* client,
                TargetRegistry* registry,
                OnFault on_fault,
                OnLeaving on_leaving,
                OnRefuted on_refuted);

  // Handles a stalled stream whose first hop is `target_id`: requests its
  // report to find the hop that the stream waits for.
  void InvestigateStall(const std::string& target_id, Instant now);

  // Checks `target_id` after several streams through it stalled together. It is
  // reported as faulty if it does not answer within a short timeout.
  void Probe(const std::string& target_id, Instant now);

  // Checks `target_id` after a path refused a call and named it as the cause:
  // it may be dead or only short of memory. It is marked full, so that it gets
  // no new calls for a short time, and its report is requested. `capacity` is
  // the number of token layers that its memory holds.
  void InvestigateRefusal(const std::string& target_id,
                          double capacity,
                          Instant now);

  // Asks suspected targets for their reports until they have shown a sign of
  // life, so that those that were only silent get calls again. Call often.
  void CheckSuspects(Instant now);

  // Asks the targets whose id or address another listed target claims whether
  // they are the ones that their records name. Call often.
  void CheckContested(Instant now);

 private:
  void CheckSuspect(const std::string& target_id,
                    const FleetTarget& target,
                    Instant now);
  void CheckClaim(const std::string& target_id,
                  const FleetTarget& target,
                  Instant now);
  void OnClaimChecked(const std::string& target_id,
                      const std::string& address,
                      const ReportAnswer& answer);
  // Reports a target as faulty at whose address a later process has answered.
  void ReportSuccessor(const std::string& target_id);
  void OnStallReport(const std::string& target_id,
                     Instant asked_at,
                     const ReportAnswer& answer);
  void OnRefusalReport(const std::string& target_id,
                       Instant asked_at,
                       double capacity,
                       const ReportAnswer& answer);

  HttpClient* client_;
  TargetRegistry* registry_;
  OnFault on_fault_;
  OnLeaving on_leaving_;
  OnRefuted on_refuted_;
  // Earliest time of the next request per target, for each kind of check.
  std::map<std::string, Instant> next_stall_report_;
  std::map<std::string, Instant> next_refusal_report_;
  std::map<std::string, Instant> next_probe_;
  std::map<std::string, Instant> next_suspect_check_;
  std::map<std::string, Instant> next_claim_check_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FAULT_DETECTOR_H_
