#ifndef MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_
#define MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_

#include <httplib.h>

#include <memory>
#include <string>

#include "bbv_core/error.h"
#include "bbv_core/instant.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// One HTTP connection to one peer, kept open between calls.
//
// Thread safety: one caller at a time, except Abort().
class HttpConnection {
 public:
  // `timeout` bounds connecting, each read and each write.
  HttpConnection(const SocketAddress& address,
                 Operation step,
                 Milliseconds timeout);

  // Each returns the response, whatever its status, or an error at the step
  // given to the constructor.
  Result<httplib::Response> Get(const std::string& path);
  Result<httplib::Response> Post(const std::string& path,
                                 const std::string& body,
                                 const char* content_type);
  Result<httplib::Response> Send(const httplib::Request& request);

  // Ends a call in progress from another thread.
  void Abort();

  const std::string& peer() const { return peer_; }

 private:
  Result<httplib::Response> Convert(httplib::Result result) const;

  std::string peer_;
  Operation step_;
  std::unique_ptr<httplib::Client> client_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_
