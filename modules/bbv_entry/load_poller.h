#ifndef MODULES_BBV_ENTRY_LOAD_POLLER_H_
#define MODULES_BBV_ENTRY_LOAD_POLLER_H_

#include <map>
#include <memory>
#include <string>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Asks engines for their load, one entry for all: each question is a call.
//
// Thread safety: none, the loop's thread.
class LoadPoller {
 public:
  LoadPoller(HttpClient* client, TargetBoard* board);

  // Asks the engines of `index` whose turn it is. Call each tick while this
  // entry does so for all.
  void OnTick(const FleetIndex& index, Instant now);

 private:
  void Poll(const std::string& id, const FleetTarget& target, Instant now);

  HttpClient* client_;
  TargetBoard* board_;
  std::map<std::string, Instant> next_poll_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_LOAD_POLLER_H_
