#ifndef MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_
#define MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_platform/http_connection.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Client of a side's model engine.
//
// Thread safety: one call at a time, except Abort(). Steps and orders need
// separate clients.
class EngineClient {
 public:
  EngineClient(const SocketAddress& address, Milliseconds timeout);

  // Runs one engine step. After an error it is unknown what the engine ran.
  Result<wire::EngineResultsT> RunStep(const wire::EngineBatchT& batch);

  // Orders the engine to load weights. Returns the versions that are loaded
  // afterwards, or an error if the engine rejects the order because of a stale
  // fence or a busy weight store.
  Result<std::vector<std::string>> Load(const std::string& model,
                                        const std::string& version,
                                        uint32_t first_layer,
                                        uint32_t end_layer,
                                        uint64_t fence);

  // Aborts a call in progress; for use from another thread.
  void Abort() { connection_.Abort(); }

 private:
  HttpConnection connection_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_ENGINE_CLIENT_H_
