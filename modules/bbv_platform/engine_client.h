#ifndef MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_
#define MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_platform/http_connection.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Client of the model engine beside a side.
//
// Thread safety: one caller at a time, except Abort(). Use one client for
// steps and one for orders.
class EngineClient {
 public:
  EngineClient(const SocketAddress& address, Milliseconds timeout);

  // Runs one iteration. On an error it is in doubt what the engine ran.
  Result<wire::EngineResultsT> RunStep(const wire::EngineBatchT& batch);

  // Orders the engine to load weights and returns the versions it then holds.
  // Refused orders (stale fence, weight store busy) are errors.
  Result<std::vector<std::string>> Load(const std::string& model,
                                        const std::string& version,
                                        uint32_t first_layer,
                                        uint32_t end_layer,
                                        uint64_t fence);

  void Abort() { connection_.Abort(); }

 private:
  HttpConnection connection_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_
