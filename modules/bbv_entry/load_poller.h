#ifndef MODULES_BBV_ENTRY_LOAD_POLLER_H_
#define MODULES_BBV_ENTRY_LOAD_POLLER_H_

#include <map>
#include <memory>
#include <string>

#include "bbv_fleet/bbv_fleet.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Polls the engines for their load reports. Only the planning entry does so, on
// behalf of all entries, to limit the number of requests.
//
// Thread safety: none, the loop's thread.
class LoadPoller {
 public:
  LoadPoller(HttpClient* client, TargetRegistry* registry);

  // Polls the engines of `index` that are due. To be called on each tick while
  // this entry polls.
  void OnTick(const FleetIndex& index, Instant now);

 private:
  void Poll(const std::string& id, const FleetTarget& target, Instant now);

  HttpClient* client_;
  TargetRegistry* registry_;
  std::map<std::string, Instant> next_poll_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_LOAD_POLLER_H_
