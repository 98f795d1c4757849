#ifndef MODULES_BBV_PLATFORM_LOG_CLIENT_H_
#define MODULES_BBV_PLATFORM_LOG_CLIENT_H_

#include <string>

#include "bbv_config/configuration_log.h"
#include "bbv_platform/http_connection.h"

namespace bbv {

// Name of the stream of configuration records at the platform's log service.
inline constexpr char kConfigurationStream[] = "configuration";

// Returns the name of the stream of claims for calls to `service`. Only the
// sides of that service's targets follow it. Thread safe.
std::string ClaimStreamName(const std::string& service);

// Client of the platform's append-only log.
//
// Thread safety: one call at a time, except Abort(). Appending and each
// followed stream need separate clients.
class LogClient {
 public:
  LogClient(const SocketAddress& address, Milliseconds timeout);

  // Appends one record. After an error without `not_performed` the record may
  // have been appended; the caller finds out by reading the stream.
  Result<void> Append(const std::string& stream, const std::string& record);

  // Returns records from `offset` on; waits up to `wait` if there are none yet.
  // A record that is not a text is returned as an empty one.
  Result<LogRecords> Read(const std::string& stream,
                          uint64_t offset,
                          Milliseconds wait);

  // Aborts a call in progress; for use from another thread.
  void Abort() { connection_.Abort(); }

 private:
  HttpConnection connection_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_LOG_CLIENT_H_
