#ifndef MODULES_BBV_PLATFORM_INSTANCE_LIST_CLIENT_H_
#define MODULES_BBV_PLATFORM_INSTANCE_LIST_CLIENT_H_

#include <string>
#include <vector>

#include "bbv_platform/http_connection.h"

namespace bbv {

// Client of the platform's list of live and leaving instances. The list lags
// behind the instances' actual state.
//
// Thread safety: one call at a time.
class InstanceListClient {
 public:
  InstanceListClient(const SocketAddress& address, Milliseconds timeout);

  // Returns the names of the instances listed as leaving.
  Result<std::vector<std::string>> ReadLeavingInstances();

 private:
  HttpConnection connection_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_INSTANCE_LIST_CLIENT_H_
