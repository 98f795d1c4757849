#ifndef MODULES_BBV_ENTRY_FAULT_DETECTOR_H_
#define MODULES_BBV_ENTRY_FAULT_DETECTOR_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "bbv_entry/target_requests.h"
#include "bbv_fleet/target_board.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Finds out by questions which target is at fault: at which hop silent streams
// wait, and whether a target that turned a call away is alive. Each target is
// asked a few times a second at most.
//
// Thread safety: none, the loop's thread.
class FaultDetector {
 public:
  // Called with the target found at fault; `confirmed_by_target` when another
  // target named it, so that the cause is not this entry's own connection.
  using OnFault = std::function<void(const std::string& target_id,
                                     std::string_view evidence,
                                     bool confirmed_by_target)>;

  // Called with a target that turns calls away without need: it is leaving.
  using OnLeaving = std::function<void(const std::string& target_id)>;

  FaultDetector(HttpClient* client,
                TargetBoard* board,
                OnFault on_fault,
                OnLeaving on_leaving);

  // A stream that was sent to `target_id` first has fallen silent.
  void InvestigateStall(const std::string& target_id, Instant now);

  // Several streams through `target_id` have fallen silent together: it is
  // asked whether it lives, and found at fault when it does not answer at once.
  void Probe(const std::string& target_id, Instant now);

  // A path turned a call away and named `target_id` as the cause: it may be
  // dead, or only short of memory. It is asked itself, and takes no new calls
  // meanwhile. `capacity` is the number of tokens times layers that it holds.
  void InvestigateRefusal(const std::string& target_id,
                          double capacity,
                          Instant now);

 private:
  void OnStallReport(const std::string& target_id, const ReportAnswer& answer);
  void OnRefusalReport(const std::string& target_id,
                       double capacity,
                       const ReportAnswer& answer);

  HttpClient* client_;
  TargetBoard* board_;
  OnFault on_fault_;
  OnLeaving on_leaving_;
  // When a target may be asked again, for each kind of question.
  std::map<std::string, Instant> next_stall_report_;
  std::map<std::string, Instant> next_refusal_report_;
  std::map<std::string, Instant> next_probe_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FAULT_DETECTOR_H_
