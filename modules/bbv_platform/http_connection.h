#ifndef MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_
#define MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_

#include <httplib.h>

#include <memory>
#include <mutex>
#include <string>

#include "bbv_core/error.h"
#include "bbv_core/instant.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// A persistent HTTP connection to one peer.
//
// Data that arrives while no request is outstanding belongs to no request; the
// next request then uses a new connection.
//
// Thread safety: one call at a time, except Abort().
class HttpConnection {
 public:
  // `timeout` applies separately to connecting, each read and each write.
  HttpConnection(const SocketAddress& address,
                 Operation step,
                 Milliseconds timeout);

  // Return the final response, whatever its status, or an error with the
  // constructor's `step`. An interim (1xx) response other than 100 is an error,
  // after which the request may have been performed.
  Result<httplib::Response> Get(const std::string& path);
  Result<httplib::Response> Post(const std::string& path,
                                 const std::string& body,
                                 const char* content_type);
  Result<httplib::Response> Send(httplib::Request request);

  // Aborts a call in progress; for use from another thread. Without one, closes
  // the connection. The next call connects again.
  void Abort();

  const std::string& peer() const { return peer_; }

 private:
  Result<httplib::Response> ToResult(httplib::Result result) const;
  // Closes an idle connection that has unread data or has ended.
  void CloseUnlessQuiet();

  std::string peer_;
  Operation step_;
  std::unique_ptr<httplib::Client> client_;
  // Held while an idle socket is examined or closed.
  std::mutex mutex_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_
