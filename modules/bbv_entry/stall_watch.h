#ifndef MODULES_BBV_ENTRY_STALL_WATCH_H_
#define MODULES_BBV_ENTRY_STALL_WATCH_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "bbv_fleet/target_board.h"
#include "bbv_front/http_client.h"
#include "platform/target_codec.h"

namespace bbv {

// Finds the hop at which silent streams wait: asks the first target of their
// path, at most a few times a second each.
//
// Thread safety: none, the loop's thread.
class StallWatch {
 public:
  // Called with the target found at fault.
  using OnFault =
      std::function<void(const std::string& target_id, std::string_view)>;

  StallWatch(HttpClient* client, TargetBoard* board, OnFault on_fault);

  // A stream that was sent to `target_id` first has fallen silent.
  void Suspect(const std::string& target_id, Instant now);

 private:
  void OnReport(const std::string& target_id, const HttpAnswer* answer);

  HttpClient* client_;
  TargetBoard* board_;
  OnFault on_fault_;
  // When a target may be asked again.
  std::map<std::string, Instant> next_question_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_STALL_WATCH_H_
