#ifndef MODULES_BBV_PLATFORM_LOG_CLIENT_H_
#define MODULES_BBV_PLATFORM_LOG_CLIENT_H_

#include <string>

#include "bbv_config/configuration_log.h"
#include "bbv_platform/http_connection.h"

namespace bbv {

// Streams of the system on the platform's log service.
inline constexpr char kConfigurationStream[] = "configuration";

// Returns the name of the claim stream of the service that `target` is an
// instance of; only its sides follow it. Thread safe.
std::string ClaimStreamName(const std::string& service);

// Client of the platform's append-only log.
//
// Thread safety: one caller at a time, except Abort(). Use one client for
// appending and one for each stream followed.
class LogClient {
 public:
  LogClient(const SocketAddress& address, Milliseconds timeout);

  // Appends one record. On an error without `not_performed` the record may
  // have been appended: read the stream to know.
  Result<void> Append(const std::string& stream, const std::string& record);

  // Returns records from `offset` on, waiting up to `wait` for the first.
  Result<LogRecords> Read(const std::string& stream,
                          uint64_t offset,
                          Milliseconds wait);

  void Abort() { connection_.Abort(); }

 private:
  HttpConnection connection_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_LOG_CLIENT_H_
